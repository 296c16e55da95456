package app

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

const day = 24 * time.Hour

// expiry is the end of one certificate.
type expiry struct {
	subject string
	until   time.Time
}

// readExpiries reads the ends of the authority's and the node's certificate, and
// fails when one is not valid now.
func readExpiries(authority, certificate []byte, now time.Time) ([]expiry, error) {
	authorityFrom, authorityUntil, err := keys.AuthorityValidity(authority)
	if err != nil {
		return nil, err
	}
	if err := keys.CheckValid(authorityFrom, authorityUntil, now); err != nil {
		return nil, err
	}
	from, until, err := keys.Validity(certificate)
	if err != nil {
		return nil, err
	}
	return []expiry{{"authority", authorityUntil}, {"node", until}}, keys.CheckValid(from, until, now)
}

// checkExpiry reports each certificate whose end is near and clears the others.
// Certificates that have passed their end fail every new connection between
// nodes at once, so that the report must come long before.
func checkExpiry(problems *observe.Problems, daysLeft metrics.Gauge, certificates []expiry, now time.Time, warnBefore time.Duration) {
	least := certificates[0].until
	for _, one := range certificates {
		if one.until.Before(least) {
			least = one.until
		}
		if one.until.Sub(now) < warnBefore {
			problems.Report(observe.KindCertificate, one.subject, "the certificate expires at "+one.until.UTC().Format(time.RFC3339))
		} else {
			problems.Clear(observe.KindCertificate, one.subject)
		}
	}
	daysLeft.Update(int64(least.Sub(now) / day))
}
