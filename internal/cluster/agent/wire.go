package agent

import (
	"encoding/json"
	"net/http"
	"strconv"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/failure/answers"
	"ospreypond/internal/cluster/protocol"
)

// Usual sizes in an answer.
const (
	ordersBytes = 512 // without starts
	startBytes  = 256 // each start
)

var emptyBody = []byte("{}")

// readHeartbeat reads a heartbeat for the owner of its service's shard. Fields that aren't known are passed over.
func readHeartbeat(w http.ResponseWriter, r *http.Request, instance string) (*protocol.HeartbeatRequest, error) {
	body, err := readBody(w, r)
	if err != nil {
		return nil, err
	}
	request := new(protocol.HeartbeatRequest)
	if err := parseHeartbeat(string(body), &request.Heartbeat); err != nil {
		return nil, failure.Newf(failure.Invalid, "the body is not a heartbeat: %v", err)
	}
	if request.Heartbeat.Service == "" {
		return nil, failure.New(failure.Invalid, "service is missing")
	}
	request.Heartbeat.Instance = instance
	request.Shard = protocol.ShardOf(request.Heartbeat.Service)
	return request, nil
}

// readService returns the service that a runner names in its body, "" if it names none.
func readService(w http.ResponseWriter, r *http.Request) (string, error) {
	body, err := readBody(w, r)
	if err != nil || len(body) == 0 {
		return "", err
	}
	var named struct {
		Service string `json:"service"`
	}
	if err := json.Unmarshal(body, &named); err != nil {
		return "", failure.Newf(failure.Invalid, "the body is not JSON: %v", err)
	}
	return named.Service, nil
}

// answerOrders sends the owner's orders.
func answerOrders(w http.ResponseWriter, orders *protocol.Orders) {
	body := make([]byte, 0, ordersBytes+len(orders.Start)*startBytes)
	answer(w, http.StatusOK, appendOrders(body, orders))
}

// errorBody is the body of an answer that isn't a success.
type errorBody struct {
	Error   string `json:"error"`
	Message string `json:"message"`
}

// answerError sends what a runner is told for err's kind.
func answerError(w http.ResponseWriter, err error) {
	told := answers.To(failure.KindOf(err))
	if told.Retry {
		w.Header().Set("Retry-After", "1")
	}
	answerFault(w, told.Status, told.Name, err.Error())
}

func answerFault(w http.ResponseWriter, status int, name, message string) {
	body, err := json.Marshal(errorBody{Error: name, Message: message})
	if err != nil {
		body = emptyBody
	}
	answer(w, status, body)
}

// answer sends status and a JSON body.
func answer(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body) // a runner that has ended is no concern
}
