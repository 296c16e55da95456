package app

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/peer"
)

const (
	// linkLogInterval is the minimum time between two log lines about one peer: under
	// load, each request to a lost peer opens a link that fails.
	linkLogInterval   = 10 * time.Second
	maxLinkLogEntries = 1024
)

// linkLogger logs why links to peers ended, at a limited rate per peer.
type linkLogger struct {
	log        logrus.FieldLogger
	mutex      sync.Mutex
	lastLogged map[string]time.Time
}

func (l *linkLogger) logBroken(target peer.Target, cause error) {
	if !l.shouldLog(target.Address, time.Now()) {
		return
	}
	line := l.log.WithError(cause).WithFields(logrus.Fields{"peer": target.Node, "address": target.Address})
	if peer.CertificateRefused(cause) {
		line.WithFields(logrus.Fields{"event": "peer_certificate_refused", "fix": "issue both nodes' certificates by one authority, see pistachiopier keys"}).
			Error("link to peer failed: this node's or the peer's certificate was refused")
		return
	}
	line.WithField("event", "peer_link_ended").Info("link to peer ended")
}

func (l *linkLogger) shouldLog(address string, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if last, ok := l.lastLogged[address]; ok && now.Sub(last) < linkLogInterval {
		return false
	}
	if l.lastLogged == nil || len(l.lastLogged) >= maxLinkLogEntries {
		l.lastLogged = map[string]time.Time{}
	}
	l.lastLogged[address] = now
	return true
}
