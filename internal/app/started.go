package app

import "github.com/sirupsen/logrus"

// logStarted logs the addresses, which the settings do not contain if a port is 0.
func (n *Node) logStarted() {
	addresses := n.Addresses()
	n.log.WithFields(logrus.Fields{
		"event":            "node_started",
		"incarnation":      n.identity.Incarnation,
		"caller_address":   addresses.Caller,
		"peer_address":     addresses.Peer,
		"operator_address": addresses.Operator,
	}).Info("node started")
}
