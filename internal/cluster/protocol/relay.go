package protocol

// Relay names a process that forwards calls to control processes for processes that can't reach them directly. Agents are
// relays. Encoded by gob: the field names are the wire format.
type Relay struct {
	Address string // internal address, ip:port
	Zone    string // zone of the relay's machine
}

// RelayRequest asks a relay to make one call and to return its response. Exactly one of the pointers is set. Encoded by gob:
// the field names are the wire format.
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

// RelayResponse is the relay's response. Only the pointer with the name of the request's is set. If the call of the target
// failed, the call of the relay fails with the same error. Encoded by gob: the field names are the wire format.
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

// PingRequest probes whether a control process can be reached, whether or not that process owns a shard. Encoded by gob.
type PingRequest struct{ Number uint64 }

// PingResponse is the response to a PingRequest, with the number of the request. Encoded by gob.
type PingResponse struct{ Number uint64 }
