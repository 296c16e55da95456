package app

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/peer"
)

const (
	// linkLogPause is the least time between two lines on one peer: under load
	// each request to a lost peer opens a link that fails.
	linkLogPause = 10 * time.Second
	maxLinkLogs  = 1024
)

// linkLog writes why links to peers ended.
type linkLog struct {
	log   logrus.FieldLogger
	mutex sync.Mutex
	last  map[string]time.Time
}

func (l *linkLog) broken(target peer.Target, cause error) {
	if !l.due(target.Address, time.Now()) {
		return
	}
	line := l.log.WithError(cause).WithFields(logrus.Fields{"peer": target.Node, "address": target.Address})
	if peer.CertificateRefused(cause) {
		line.WithFields(logrus.Fields{"event": "peer_certificate_refused", "fix": "issue both nodes' certificates by one authority, see pistachiopier keys"}).
			Error("a peer's certificate or ours was refused")
		return
	}
	line.WithField("event", "peer_link_ended").Info("a link to a peer ended")
}

func (l *linkLog) due(address string, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if last, ok := l.last[address]; ok && now.Sub(last) < linkLogPause {
		return false
	}
	if l.last == nil || len(l.last) >= maxLinkLogs {
		l.last = map[string]time.Time{}
	}
	l.last[address] = now
	return true
}
