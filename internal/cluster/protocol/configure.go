package protocol

// ChangeKind is the kind of a change that an operator makes to the configuration. The constants are untyped, as
// configuration.Command, which is stored, has the kind as a string.
type ChangeKind string

// Kinds of changes.
const (
	ConfigurationReplace = "replace" // the body is a complete configuration
	ConfigurationUpdate  = "update"  // the body lists items to add, replace and remove
)

// ConfigureRequest carries an operator's change to the owner of the configuration shard. Sending it again is safe.
// Encoded by gob: the field names are the wire format.
type ConfigureRequest struct {
	Kind ChangeKind // ConfigurationReplace or ConfigurationUpdate
	Base uint64     // version that the change was made to; 0 for the first
	Body []byte     // JSON, as the operator sent it
}

// ConfigureResponse acknowledges that the change is committed, by this request or an earlier one. A change that isn't
// accepted is the error Invalid or Conflict. Encoded by gob.
type ConfigureResponse struct {
	Version uint64 // of the configuration with the change
}

// ReadConfigurationRequest asks the owner of the configuration shard for the newest configuration. Encoded by gob.
type ReadConfigurationRequest struct{}

// ReadConfigurationResponse has the complete configuration. The sender's leadership was confirmed after the request
// arrived. Encoded by gob.
type ReadConfigurationResponse struct {
	Version uint64
	Body    []byte // JSON; before the first configuration one of version 0 and without items
}
