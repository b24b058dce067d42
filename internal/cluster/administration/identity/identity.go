// Package identity has the form in which operators see the identity of a control process: hexadecimal digits. In JSON, too,
// it is a string, because many readers of JSON round integers of 64 bits.
package identity

import (
	"encoding/json"
	"strconv"
)

// ID is the identity of a control process; 0 means none.
type ID uint64

// String returns the identity in hexadecimal, without leading zeros.
func (i ID) String() string { return strconv.FormatUint(uint64(i), 16) }

// MarshalJSON encodes the identity as a JSON string, in the form of String.
func (i ID) MarshalJSON() ([]byte, error) { return json.Marshal(i.String()) }

// UnmarshalJSON decodes the output of MarshalJSON.
func (i *ID) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	number, err := strconv.ParseUint(text, 16, 64)
	*i = ID(number)
	return err
}
