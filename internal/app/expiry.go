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

// certificateExpiry is the expiry time of one certificate.
type certificateExpiry struct {
	subject  string
	notAfter time.Time
}

// loadTLS reads the node's keys and refuses certificates that are not valid now.
// It also returns their expiry times.
func loadTLS(paths settings.TLS, now time.Time) (*tls.Config, []certificateExpiry, error) {
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

// readExpiries returns the expiry times of the authority's and the node's
// certificate, and an error if one of them is not valid now.
func readExpiries(authority, certificate []byte, now time.Time) ([]certificateExpiry, error) {
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
	return []certificateExpiry{{"authority", authorityUntil}, {"node", until}}, keys.CheckValid(from, until, now)
}

// checkExpiry reports each certificate that expires within warnBefore and clears the
// others. Once a certificate has expired, every new connection between nodes fails,
// so the report must come long before.
func checkExpiry(problems *observe.Problems, daysLeft metrics.Gauge, certificates []certificateExpiry, now time.Time, warnBefore time.Duration) {
	earliest := certificates[0].notAfter
	for _, certificate := range certificates {
		if certificate.notAfter.Before(earliest) {
			earliest = certificate.notAfter
		}
		if certificate.notAfter.Sub(now) < warnBefore {
			problems.Report(observe.KindCertificate, certificate.subject, "the certificate expires at "+certificate.notAfter.UTC().Format(time.RFC3339))
		} else {
			problems.Clear(observe.KindCertificate, certificate.subject)
		}
	}
	daysLeft.Update(int64(earliest.Sub(now) / day))
}

// expiryWatcher periodically reports certificates that are about to expire.
type expiryWatcher struct {
	stop context.CancelFunc
	done chan struct{}
}

const expiryCheckInterval = time.Hour

func startExpiryWatcher(problems *observe.Problems, registry observe.Registry, certificates []certificateExpiry, warnBefore time.Duration) *expiryWatcher {
	ctx, stop := context.WithCancel(context.Background())
	w := &expiryWatcher{stop: stop, done: make(chan struct{})}
	daysLeft := observe.Gauge(registry, "certificate_days_left")
	go func() {
		defer close(w.done)
		ticker := time.NewTicker(expiryCheckInterval)
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

func (w *expiryWatcher) close() {
	w.stop()
	<-w.done
}
