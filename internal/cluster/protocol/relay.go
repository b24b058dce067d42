package protocol

// Relay is a process that forwards calls to control processes on behalf of processes that can't reach them directly.
// Encoded by gob: the field names are the wire format.
type Relay struct {
	Address string // internal
	Zone    string
}

// RelayRequest asks a relay to make one call and to return its response. Exactly one of the requests is set. Encoded by
// gob: the field names are the wire format.
type RelayRequest struct {
	Target string // internal address of the control process to call

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

// RelayResponse has the response to the request that was set. An error of the call is the error of the relayed call.
// Encoded by gob: the field names are the wire format.
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

// PingRequest probes whether a control process can be reached. It doesn't ask what the process owns. Encoded by gob.
type PingRequest struct{ Number uint64 }

// PingResponse has the request's number. Encoded by gob.
type PingResponse struct{ Number uint64 }
