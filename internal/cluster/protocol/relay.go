package protocol

// Relay is a process that carries calls to control processes for others whose own way there is cut.
type Relay struct {
	Address string // internal
	Zone    string
}

// RelayRequest asks a relay to make one call and to bring the answer back. One of the requests is set.
type RelayRequest struct {
	Target string // internal address of the control process that is to be called

	Ping       *PingRequest
	Heartbeat  *HeartbeatRequest
	Deregister *DeregisterRequest
	Submit     *SubmitRequest
	Fence      *FenceRequest
	Status     *StatusRequest
	Cancel     *CancelRequest
	Pending    *PendingRequest
	Watch      *WatchRequest
}

// RelayResponse has the answer to the request that was set. Errors of the call come as errors.
type RelayResponse struct {
	Ping       *PingResponse
	Heartbeat  *HeartbeatResponse
	Deregister *DeregisterResponse
	Submit     *SubmitResponse
	Fence      *FenceResponse
	Status     *StatusResponse
	Cancel     *CancelResponse
	Pending    *PendingResponse
	Watch      *WatchResponse
}

// PingRequest asks a control process whether it can be reached. It says nothing of what the process owns.
type PingRequest struct{ Number uint64 }

// PingResponse has the request's number.
type PingResponse struct{ Number uint64 }
