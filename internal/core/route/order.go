package route

import "github.com/pistachiopier/pistachiopier/internal/core"

// Order returns all nodes in the rendezvous order of a key, those of the data
// centre first. The slice is the caller's.
func (v *View) Order(key core.BundleID, dataCentre string) []Node {
	return v.order(key, dataCentre)
}
