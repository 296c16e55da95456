package app

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/settings"
)

const day = 24 * time.Hour

// expiry is the end of one certificate.
type expiry struct {
	subject string
	until   time.Time
}

// loadTLS reads the node's keys and refuses certificates that are not valid now.
// It returns their ends too, to be watched.
func loadTLS(paths settings.TLS, now time.Time) (*tls.Config, []expiry, error) {
	authority, err := settings.LoadPEM(paths.Authority)
	if err != nil {
		return nil, nil, err
	}
	certificate, err := settings.LoadPEM(paths.Certificate)
	if err != nil {
		return nil, nil, err
	}
	key, err := settings.LoadPEM(paths.Key)
	if err != nil {
		return nil, nil, err
	}
	expiries, err := readExpiries(authority, certificate, now)
	if err != nil {
		return nil, nil, err
	}
	config, err := keys.TLSConfig(authority, keys.Pair{Certificate: certificate, Key: key})
	return config, expiries, err
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

// expiryWatch reports certificates that are about to expire.
type expiryWatch struct {
	stop context.CancelFunc
	done chan struct{}
}

const expiryCheck = time.Hour

func watchExpiry(problems *observe.Problems, registry observe.Registry, certificates []expiry, warnBefore time.Duration) *expiryWatch {
	ctx, stop := context.WithCancel(context.Background())
	w := &expiryWatch{stop: stop, done: make(chan struct{})}
	daysLeft := observe.Gauge(registry, "certificate_days_left")
	go func() {
		defer close(w.done)
		ticker := time.NewTicker(expiryCheck)
		defer ticker.Stop()
		for {
			checkExpiry(problems, daysLeft, certificates, time.Now(), warnBefore)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return w
}

func (w *expiryWatch) close() {
	w.stop()
	<-w.done
}
