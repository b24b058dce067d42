package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/gob"
	"encoding/json"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Command is an operator's order as it stands in the log of the configuration shard.
type Command struct {
	Kind string // protocol.ConfigurationReplace or protocol.ConfigurationUpdate
	Base uint64 // the version that it builds on; 0 for the first
	Body []byte // JSON as the operator sent it
}

// Result is what became of a Command.
type Result struct {
	Kind    failure.Kind // None: it is in force, now or before; else Invalid, Conflict, Forgotten or Unavailable
	Version uint64       // None: the order's own version; else the current one
	Message string       // what is wrong
}

// Err returns the refusal as an error of its kind, or nil.
func (r Result) Err() error {
	if r.Kind == failure.None {
		return nil
	}
	return failure.New(r.Kind, r.Message)
}

// EncodeCommand returns a command's form in the log.
func EncodeCommand(command Command) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(&command); err != nil {
		return nil, errors.Wrap(err, "encode a configuration command")
	}
	return buffer.Bytes(), nil
}

// DecodeCommand reads what EncodeCommand returned.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&command); err != nil {
		return Command{}, errors.Wrap(err, "decode a configuration command")
	}
	return command, nil
}

// apply returns the document that the command makes of d.
func (d *Document) apply(command Command) (*Document, error) {
	switch command.Kind {
	case protocol.ConfigurationReplace:
		return d.replaced(command.Body)
	case protocol.ConfigurationUpdate:
		return d.updated(command.Body)
	}
	return nil, invalidf("%q is no kind of change", command.Kind)
}

// digest is what tells one order from another.
type digest [16]byte

// digestOf returns the same for the same order, spaces between the values aside.
func digestOf(command Command) digest {
	var compact bytes.Buffer
	if err := json.Compact(&compact, command.Body); err != nil {
		compact.Reset()
		compact.Write(command.Body)
	}
	hash := sha256.New()
	hash.Write([]byte(command.Kind))
	hash.Write(binary.BigEndian.AppendUint64([]byte{0}, command.Base))
	hash.Write(compact.Bytes())
	return digest(hash.Sum(nil)[:len(digest{})])
}
