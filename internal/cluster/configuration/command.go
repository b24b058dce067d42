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

// Command is an operator's change as it stands in the log of the configuration shard. It is encoded by gob: the field names
// are the format.
type Command struct {
	Kind string // protocol.ConfigurationReplace or protocol.ConfigurationUpdate
	Base uint64 // the version that it builds on; 0 for the first
	Body []byte // JSON as the operator sent it
}

// Result is the outcome of a Command.
type Result struct {
	Kind    failure.Kind // None: it was accepted, now or before; else Invalid, Conflict, Forgotten or Unavailable
	Version uint64       // of the command if it was accepted, else the current one
	Message string       // why it was rejected, for people
}

// Err returns a rejection as an error of its kind, and nil for a command that was accepted.
func (r Result) Err() error {
	if r.Kind == failure.None {
		return nil
	}
	return failure.New(r.Kind, r.Message)
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(command Command) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(&command); err != nil {
		return nil, errors.Wrap(err, "encode a configuration command")
	}
	return buffer.Bytes(), nil
}

// DecodeCommand decodes what EncodeCommand returned.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&command); err != nil {
		return Command{}, errors.Wrap(err, "decode a configuration command")
	}
	return command, nil
}

// apply returns the document that follows d by a command. The error is of kind failure.Invalid.
func (d *Document) apply(command Command) (*Document, error) {
	switch command.Kind {
	case protocol.ConfigurationReplace:
		return d.applyReplacement(command.Body)
	case protocol.ConfigurationUpdate:
		return d.applyUpdate(command.Body)
	}
	return nil, invalidf("%q is not a kind of change", command.Kind)
}

// commandDigest identifies a command by its content.
type commandDigest [16]byte

// digestOfCommand returns the digest of a command. White space between the values of its body doesn't count.
func digestOfCommand(command Command) commandDigest {
	var compact bytes.Buffer
	if err := json.Compact(&compact, command.Body); err != nil {
		compact.Reset()
		compact.Write(command.Body)
	}
	hash := sha256.New()
	hash.Write([]byte(command.Kind))
	hash.Write(binary.BigEndian.AppendUint64([]byte{0}, command.Base))
	hash.Write(compact.Bytes())
	return commandDigest(hash.Sum(nil)[:len(commandDigest{})])
}
