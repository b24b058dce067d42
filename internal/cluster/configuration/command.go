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

// Command is an operator's change of the configuration, an entry in the log of the configuration shard. It is encoded by
// gob: the field names are the format.
type Command struct {
	Kind string // protocol.ConfigurationReplace or protocol.ConfigurationUpdate
	Base uint64 // version of the document that the change builds on; 0 for the first configuration
	Body []byte // JSON as the operator sent it
}

// Result is the outcome of a Command.
type Result struct {
	Kind    failure.Kind // None: the command was accepted, now or earlier; else Invalid, Conflict, Forgotten or Unavailable
	Version uint64       // version that the accepted command led to; the current version if the command was not accepted
	Message string       // reason why the command was not accepted, for operators
}

// Err returns an error of the result's kind, or nil if the command was accepted.
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

// DecodeCommand decodes the result of EncodeCommand.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&command); err != nil {
		return Command{}, errors.Wrap(err, "decode a configuration command")
	}
	return command, nil
}

// apply returns the document that results from applying a command to d. The error is of kind failure.Invalid.
func (d *Document) apply(command Command) (*Document, error) {
	switch command.Kind {
	case protocol.ConfigurationReplace:
		return d.applyReplacement(command.Body)
	case protocol.ConfigurationUpdate:
		return d.applyUpdate(command.Body)
	}
	return nil, invalidf("%q is not a kind of change: it must be %q or %q",
		command.Kind, protocol.ConfigurationReplace, protocol.ConfigurationUpdate)
}

// commandDigest identifies a command by its content: the first 16 bytes of a SHA-256.
type commandDigest [16]byte

// digestOfCommand returns the digest of a command's kind, base and body. White space between the values of the body
// doesn't count, the order of fields does.
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
