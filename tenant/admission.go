package tenant

import "time"

// defaultRevocationTime applies if the settings give no time.
const defaultRevocationTime = 1500 * time.Millisecond

// Requirement says whether requests need a key.
type Requirement struct {
	FeatureSet bool // the deployment's settings ask for tenants
	HadTenants bool // a configuration in the lifetime of the process had tenants
}

// KeysRequired reports whether requests to routes that are not public need a key. Once they
// do, a later configuration without tenants does not open the routes.
func (r Requirement) KeysRequired() bool { return r.FeatureSet || r.HadTenants }

// Freshness tells how current the configuration is from which keys are judged.
type Freshness struct {
	Strict      bool          // refuse requests that depend on a key after Limit
	Limit       time.Duration // zero means the default
	ConfirmedAt time.Time     // when the latest answered read of the configuration was sent; zero for none
}

// IsConfirmed reports whether the configuration was confirmed within the limit.
func (f Freshness) IsConfirmed(now time.Time) bool {
	limit := f.Limit
	if limit <= 0 {
		limit = defaultRevocationTime
	}
	return !f.ConfirmedAt.IsZero() && now.Sub(f.ConfirmedAt) <= limit
}

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	Accepted    Verdict = iota
	Rejected            // the request lacks a valid key
	Unconfirmed         // whether its key is still valid is not known
)

// Decide judges a request to a route by its Authorization headers. The reason is set for
// Rejected only. A request without a tenant has an empty name.
//
// On a public route, an invalid key counts as none. A valid one gives access to the tenant's
// jobs and is therefore subject to the same freshness as on other routes.
func Decide(d *Directory, r Requirement, f Freshness, public bool, header []string, now time.Time) (name string, verdict Verdict, reason KeyError) {
	if !r.KeysRequired() {
		return "", Accepted, ""
	}
	name, err := d.Authenticate(header)
	if err != nil && public {
		return "", Accepted, ""
	}
	if f.Strict && !f.IsConfirmed(now) {
		return "", Unconfirmed, ""
	}
	if err != nil {
		return "", Rejected, err.(KeyError)
	}
	return name, Accepted, ""
}
