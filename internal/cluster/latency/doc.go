// Package latency records why tasks are not done yet: each moment between a job's acceptance and its end has one wait
// reason of a closed list, as pending tasks of Kubernetes and Slurm have an unschedulable or pending reason.
//
// A Recorder is pure: the owner of a shard calls it with what happens and the time of its monotonic clock, which never goes
// back. It is used by one goroutine, and no call iterates over all tasks. Its record begins with the owner's election and
// ends with it: time before that counts as Unowned. Sums by queue (QueueSummary) and the summaries of ended jobs are all
// that comes out; records of jobs that have ended are dropped.
package latency
