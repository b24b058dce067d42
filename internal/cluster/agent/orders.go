package agent

import (
	"encoding/json"
	"strconv"

	"ospreypond/internal/cluster/protocol"
)

// appendOrders appends the orders as JSON: what json.Marshal gives, in a small part of its time.
func appendOrders(body []byte, orders *protocol.Orders) []byte {
	body = append(body, '{')
	first := len(body)
	body = appendNumber(body, first, "holdMs", orders.HoldMs)
	body = appendNumber(body, first, "lastSeen", int64(orders.LastSeen))
	body = appendNumber(body, first, "fenceToken", int64(orders.FenceToken))
	if len(orders.Start) > 0 {
		body = append(appendName(body, first, "start"), '[')
		for i := range orders.Start {
			body = appendStart(body, i, &orders.Start[i])
		}
		body = append(body, ']')
	}
	if len(orders.Stop) > 0 {
		body = append(appendName(body, first, "stop"), '[')
		for i := range orders.Stop {
			body = appendStop(body, i, &orders.Stop[i])
		}
		body = append(body, ']')
	}
	body = appendNumber(body, first, "retryDelayMs", orders.RetryDelayMs)
	if orders.HeartbeatAddress != "" {
		body = appendText(appendName(body, first, "heartbeatAddress"), orders.HeartbeatAddress)
	}
	return append(body, '}')
}

// appendName appends a field's name. Fields start at first.
func appendName(body []byte, first int, name string) []byte {
	if len(body) > first {
		body = append(body, ',')
	}
	body = append(body, '"')
	body = append(body, name...)
	return append(body, '"', ':')
}

// appendNumber appends a field unless its value is 0.
func appendNumber(body []byte, first int, name string, value int64) []byte {
	if value == 0 {
		return body
	}
	return strconv.AppendInt(appendName(body, first, name), value, 10)
}

func appendStart(body []byte, number int, order *protocol.StartOrder) []byte {
	body = appendRow(body, number, order.Task, order.Run)
	body = appendText(append(body, ','), order.Spec)
	body = appendText(append(body, ','), order.Saved)
	return append(body, ']')
}

func appendStop(body []byte, number int, order *protocol.StopOrder) []byte {
	return append(appendRow(body, number, order.Task, order.Run), ']')
}

// appendRow begins the row of that number, counted from 0.
func appendRow(body []byte, number int, task string, run uint64) []byte {
	if number > 0 {
		body = append(body, ',')
	}
	body = appendText(append(body, '['), task)
	return strconv.AppendUint(append(body, ','), run, 10)
}

// appendText appends a text in quotes.
func appendText(body []byte, text string) []byte {
	for i := range len(text) {
		if b := text[i]; b < ' ' || b >= 0x7f || b == '"' || b == '\\' {
			return appendUnusualText(body, text)
		}
	}
	body = append(body, '"')
	body = append(body, text...)
	return append(body, '"')
}

// appendUnusualText appends a text that needs escapes or goes beyond ASCII.
func appendUnusualText(body []byte, text string) []byte {
	quoted, err := json.Marshal(text)
	if err != nil { // no text is refused
		return append(body, '"', '"')
	}
	return append(body, quoted...)
}
