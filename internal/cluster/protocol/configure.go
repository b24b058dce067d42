package protocol

// ChangeKind is the kind of a change that an operator makes to the configuration. The constants are untyped, so that they
// can also be compared with configuration.Command.Kind, which is stored as a string.
type ChangeKind string

// Values of ChangeKind.
const (
	ConfigurationReplace = "replace" // ConfigureRequest.Body is a complete configuration
	ConfigurationUpdate  = "update"  // ConfigureRequest.Body lists items to add, replace and remove
)

// ConfigureRequest carries an operator's change to the owner of the configuration shard. An operator's client sends it,
// or the control process that the operator has called by HTTP. It may be sent again: the change takes effect once.
// Encoded by gob: the field names are the wire format.
type ConfigureRequest struct {
	Kind ChangeKind // ConfigurationReplace or ConfigurationUpdate
	Base uint64     // version of the configuration that the change builds on; 0: there is none yet
	Body []byte     // JSON, as the operator sent it
}

// ConfigureResponse is the owner's acknowledgement that the change is committed, by this request or an earlier one. For a
// change that the owner doesn't accept, the call fails with the error Invalid or Conflict. Encoded by gob.
type ConfigureResponse struct {
	Version uint64 // version of the configuration that contains the change
}

// ReadConfigurationRequest asks the owner of the configuration shard for the newest configuration. An operator's client
// sends it, or the control process that the operator has called by HTTP. Encoded by gob.
type ReadConfigurationRequest struct{}

// ReadConfigurationResponse is the owner's response, with the complete configuration. The owner has confirmed its leadership
// after the request arrived, so no newer configuration was committed before that. Encoded by gob.
type ReadConfigurationResponse struct {
	Version uint64 // version of the configuration in Body; 0: there is none yet
	Body    []byte // JSON; for version 0 a configuration without items
}
