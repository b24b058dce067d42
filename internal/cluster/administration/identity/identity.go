// Package identity is how a control process's identity is shown: in hex, also in JSON, where a number of 64 bits would
// not survive every reader.
package identity

import (
	"encoding/json"
	"strconv"
)

// ID is an identity; 0 is nobody.
type ID uint64

// String returns it in hex.
func (i ID) String() string { return strconv.FormatUint(uint64(i), 16) }

// MarshalJSON writes a text.
func (i ID) MarshalJSON() ([]byte, error) { return json.Marshal(i.String()) }

// UnmarshalJSON reads what MarshalJSON wrote.
func (i *ID) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	number, err := strconv.ParseUint(text, 16, 64)
	*i = ID(number)
	return err
}
