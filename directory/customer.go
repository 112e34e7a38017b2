package directory

import (
	"crypto/sha256"
	"crypto/subtle"
	"math"
)

// A KeyDigest is the SHA-256 digest of a customer's key. The key itself is neither stored
// nor sent between processes, so that no log, dump or stored value can leak it.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// A Customer owns the keys that its callers and trainers authenticate with.
type Customer struct {
	Keys []KeyDigest
	Name string
	// Priority overrides that of the route, if Ranked. 0 is the highest.
	Priority int
	// Quota bounds the rate at which its live requests start, per second; 0 means no bound.
	Quota  float64
	Ranked bool
	// Weight is its weight in fair sharing of scarce capacity; 0 derives it from Priority.
	Weight float64
}

// ValidRatio reports whether a number is valid as a customer's quota or weight: finite and
// not negative.
func ValidRatio(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }

// PriorityWeight returns the customer's weight in fair sharing: Weight if set, else 1 for
// priority 0, 1/2 for priority 1, 1/3 for priority 2 and so on. It is never zero.
func (cu Customer) PriorityWeight() float64 {
	switch {
	case cu.Weight > 0:
		return cu.Weight
	case cu.Ranked && cu.Priority > 0:
		return 1 / float64(1+cu.Priority)
	default:
		return 1
	}
}

// Weights returns the customers' weights by name.
func (co *Configuration) Weights() map[string]float64 {
	weights := make(map[string]float64, len(co.Customers))
	for _, cu := range co.Customers {
		weights[cu.Name] = cu.PriorityWeight()
	}
	return weights
}

// Weights returns the weights of the customers of the configuration in force.
func (di *Directory) Weights() map[string]float64 {
	co := di.Configuration()
	if co == nil {
		return nil
	}
	return co.Weights()
}

// Quota returns a customer's quota in the configuration in force, in requests per second; 0
// means no bound.
func (di *Directory) Quota(customer string) float64 {
	co := di.Configuration()
	if co == nil {
		return 0
	}
	for _, cu := range co.Customers {
		if cu.Name == customer {
			return cu.Quota
		}
	}
	return 0
}

// CustomerByKey returns the customer that a key belongs to.
//
// It compares all keys in constant time, to prevent timing attacks.
func (co *Configuration) CustomerByKey(key string) (Customer, bool) {
	digest := DigestKey(key)
	found := -1
	for i := range co.Customers {
		for j := range co.Customers[i].Keys {
			if subtle.ConstantTimeCompare(co.Customers[i].Keys[j][:], digest[:]) == 1 {
				found = i
			}
		}
	}
	if found < 0 {
		return Customer{}, false
	}
	return co.Customers[found], true
}

// PublicSteps reports whether trainers may submit steps at a host without a key.
func (co *Configuration) PublicSteps(host string) bool {
	for i := range co.Routes {
		if ro := &co.Routes[i]; ro.Host == host && ro.Public && ro.Kind == Steps {
			return true
		}
	}
	return false
}
