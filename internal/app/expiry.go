package app

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

const day = 24 * time.Hour

// checkExpiry reports each certificate whose end is near and clears the others.
// Certificates that have passed their end fail every new connection between
// nodes at once, so that the report must come long before.
func checkExpiry(problems *observe.Problems, daysLeft metrics.Gauge, certificates [][]byte, now time.Time, warnBefore time.Duration) {
	subjects := []string{"authority", "node"}
	least := time.Duration(1<<63 - 1)
	for i, certificate := range certificates {
		_, until, err := keys.Validity(certificate)
		if err != nil {
			problems.Report(observe.KindCertificate, subjects[i], err.Error())
			continue
		}
		left := until.Sub(now)
		least = min(least, left)
		if left < warnBefore {
			problems.Report(observe.KindCertificate, subjects[i], "the certificate expires at "+until.UTC().Format(time.RFC3339))
		} else {
			problems.Clear(observe.KindCertificate, subjects[i])
		}
	}
	daysLeft.Update(int64(least / day))
}
