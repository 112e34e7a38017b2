package settings

// A Platform holds the base URLs of the platform's services, without a trailing slash.
type Platform struct {
	instanceList string
	keyValue     string
	weightStore  string
}

// InstanceList returns the base URL of the instance list.
func (pl Platform) InstanceList() string { return pl.instanceList }

// KeyValue returns the base URL of the key-value service.
func (pl Platform) KeyValue() string { return pl.keyValue }

// WeightStore returns the base URL of the weight store.
func (pl Platform) WeightStore() string { return pl.weightStore }
