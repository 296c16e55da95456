package catalog

import "time"

// configText is the decoded configuration text. docs/INTERFACE.md describes the
// fields; the default applies to a duration or number that is zero.
type configText struct {
	Version           int            `yaml:"version"`
	Policy            policyText     `yaml:"policy"`
	Indexes           []string       `yaml:"indexes"`
	Customers         []customerText `yaml:"customers"`
	DefaultCustomer   customerText   `yaml:"default_customer"`
	UnlistedCustomers string         `yaml:"unlisted_customers"`
	Services          []serviceText  `yaml:"services"`
	Groups            []groupText    `yaml:"groups"`
}

type policyText struct {
	Routing        string `yaml:"routing"`
	OwnershipScope string `yaml:"ownership_scope"`
	BundleSize     int    `yaml:"bundle_size"`
}

type customerText struct {
	Name     string  `yaml:"name"`
	Weight   float64 `yaml:"weight"`
	InFlight int     `yaml:"in_flight"`
}

// commonText holds the keys that services and groups share.
type commonText struct {
	Index       string        `yaml:"index"`
	DependsOn   []string      `yaml:"depends_on"`
	Slots       int           `yaml:"slots"`
	Connections int           `yaml:"connections"`
	ConnectCost time.Duration `yaml:"connect_cost"`
	Timeout     time.Duration `yaml:"timeout"`
	Idempotent  *bool         `yaml:"idempotent"`
}

type serviceText struct {
	Name string `yaml:"name"`
	commonText
	Shards []shardText `yaml:"shards"`
}

type shardText struct {
	Replicas []replicaText `yaml:"replicas"`
}

type replicaText struct {
	Address    string `yaml:"address"`
	DataCentre string `yaml:"data_centre"`
	Draining   bool   `yaml:"draining"`
}

// groupText defines several similar services: name-01, name-02 and so on.
type groupText struct {
	Name     string `yaml:"name"`
	Services int    `yaml:"services"`
	Lead     bool   `yaml:"lead"`
	commonText
	Shards       int      `yaml:"shards"`
	Replicas     int      `yaml:"replicas"`
	DataCentres  []string `yaml:"data_centres"`
	FirstAddress string   `yaml:"first_address"`
	AddressStep  string   `yaml:"address_step"`
}
