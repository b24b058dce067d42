package protocol

// Kinds of changes that an operator orders.
const (
	ConfigurationReplace = "replace" // the body is a whole configuration
	ConfigurationUpdate  = "update"  // the body names items to add, replace and remove
)

// ConfigureRequest passes an operator's change to the owner of the configuration shard. Sending it again is safe.
type ConfigureRequest struct {
	Kind string // ConfigurationReplace or ConfigurationUpdate
	Base uint64 // the version it builds on; 0 for the first
	Body []byte // JSON as the operator sent it
}

// ConfigureResponse says that the change is committed (now or before). Refusals are the errors Invalid and Conflict.
type ConfigureResponse struct{ Version uint64 }

// ReadConfigurationRequest asks the owner of the configuration shard for the newest configuration.
type ReadConfigurationRequest struct{}

// ReadConfigurationResponse has it whole. The sender's leadership was confirmed after the request came.
type ReadConfigurationResponse struct {
	Version uint64
	Body    []byte // JSON; with version 0 and no items before the first configuration
}
