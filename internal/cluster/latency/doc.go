// Package latency records why tasks are not done yet. It assigns each moment of a task's time to one wait reason of a closed
// list, similar to the pending reasons of Slurm and the unschedulable reasons of Kubernetes.
//
// The owner of a shard calls a Recorder for each event of its tasks and jobs, with the time of the owner's monotonic clock.
// A Recorder has no clock and no I/O, and is used by one goroutine. No call iterates over all tasks of the shard.
//
// A record begins when the owner is elected and ends with its leadership, because it is not replicated: the time of a job
// before the record is assigned to Unowned. The results are sums for each queue (QueueSummary) and a summary of each job
// that ends (JobSummary). The records of jobs that have ended are dropped.
package latency
