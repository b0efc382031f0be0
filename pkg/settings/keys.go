package settings

// Keys returns all keys of the settings, bound to s. Flags, environment variables, the
// settings file and docs/settings.md are derived from this table.
func (s *Settings) Keys() []Key {
	l, t := &s.Limits, &s.Timeouts
	return []Key{
		required(text("vm", "name, a-z and 0-9", "name of this VM; it stays the same over restarts", &s.VM)),
		required(text("dataCentre", "name, a-z and 0-9", "data centre of this VM", &s.DataCentre)),
		number("size", "relative capacity", "capacity against the other entry VMs, for example the core count", &s.Size),
		text("callerAddress", "host:port", "where callers connect", &s.CallerAddress),
		text("peerAddress", "host:port", "where other entry VMs connect", &s.PeerAddress),
		text("advertisedPeerAddress", "host:port", "where other entry VMs dial, if it is not peerAddress", &s.AdvertisedPeerAddress),
		text("platformAddress", "host:port", "where the platform listens", &s.PlatformAddress),
		text("governanceDigest", "64 hex digits", "digest of the first governance section of the bundles; without it no bundle is taken", &s.GovernanceDigest),
		text("seedPeers", "host:port, separated by commas", "peers to ask for the bundle while the platform gives no roster", &s.SeedPeers),
		number("limits.bodyBytes", "bytes", "largest body of a caller's request", &l.BodyBytes),
		number("limits.bodiesBytes", "bytes", "largest sum of the bodies that are being read at the same time", &l.BodiesBytes),
		number("limits.answerBytes", "bytes", "largest sum of the results of one job; more than 16 MiB never comes about", &l.AnswerBytes),
		number("limits.resultBytes", "bytes", "largest result of one task", &l.ResultBytes),
		number("limits.tasksPerJob", "tasks", "most tasks of one job; an owner's limit in the bundle can be lower", &l.TasksPerJob),
		number("limits.queuedTasks", "tasks", "most tasks that wait at this VM", &l.QueuedTasks),
		number("limits.reservedIds", "ids", "most ids of one POST /v1/ids", &l.ReservedIDs),
		number("limits.rememberedIds", "ids", "most ids remembered for 15 min as issuer, and as many as witness", &l.Remembered.IDs),
		number("limits.rememberedBytes", "bytes", "most bytes of their records as issuer, and as many as witness", &l.Remembered.Bytes),
		number("limits.callerConnections", "connections", "most open connections of callers", &l.CallerConnections),
		number("limits.mailbox", "events", "most events that wait for the control goroutine", &l.Mailbox),
		number("limits.endpointConnections", "connections", "most open connections to one endpoint", &l.EndpointConnections),
		number("timeouts.attemptMs", "ms", "longest span of one send to an endpoint", &t.Attempt),
		number("timeouts.peerMs", "ms", "longest span of a call to a peer, beyond the caller's own wait", &t.Peer),
		number("timeouts.dialMs", "ms", "longest span of opening a connection", &t.Dial),
		number("timeouts.handshakeMs", "ms", "longest span of a TLS handshake between entry VMs", &t.Handshake),
		number("timeouts.platformMs", "ms", "longest span of a call to the platform", &t.Platform),
		number("timeouts.maxWaitMs", "ms", "longest wait that a caller can ask for with waitMs", &t.MaxWait),
		number("timeouts.maxDeadlineMs", "ms", "longest deadline that a caller can name", &t.MaxDeadline),
		number("timeouts.callerIdleMs", "ms", "longest span in which a caller's connection is idle or sends its request", &t.CallerIdle),
		number("timeouts.pollMs", "ms", "span between two polls of the platform", &t.Poll),
		number("timeouts.tickMs", "ms", "span between two timer events of the control goroutine", &t.Tick),
		number("timeouts.shutdownMs", "ms", "longest span of a graceful shutdown", &t.Shutdown),
		text("trace.exporter", "none, stdout or otlphttp", "where spans go", &s.Trace.Exporter),
		text("trace.address", "host:port", "collector for otlphttp", &s.Trace.Address),
		text("tls.certificateFile", "path, PEM", "certificate of this VM for the connections between entry VMs", &s.TLS.CertificateFile),
		text("tls.keyFile", "path, PEM", "private key of the certificate", &s.TLS.KeyFile),
		text("tls.caFile", "path, PEM", "certificates of the authority that signs those of all entry VMs", &s.TLS.CAFile),
	}
}
