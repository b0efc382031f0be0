package settings

import (
	"bytes"
	"os"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

type wireSettings struct {
	VM               string       `toml:"vm"`
	DataCentre       string       `toml:"dataCentre"`
	Size             int          `toml:"size"`
	CallerAddress    string       `toml:"callerAddress"`
	PeerAddress      string       `toml:"peerAddress"`
	PlatformAddress  string       `toml:"platformAddress"`
	GovernanceDigest string       `toml:"governanceDigest"`
	SeedPeers        []string     `toml:"seedPeers"`
	Limits           wireLimits   `toml:"limits"`
	Timeouts         wireTimeouts `toml:"timeouts"`
}

type wireLimits struct {
	BodyBytes           int64 `toml:"bodyBytes"`
	ResultBytes         int64 `toml:"resultBytes"`
	TasksPerJob         int   `toml:"tasksPerJob"`
	QueuedTasks         int   `toml:"queuedTasks"`
	ReservedIDs         int   `toml:"reservedIds"`
	Mailbox             int   `toml:"mailbox"`
	EndpointConnections int   `toml:"endpointConnections"`
}

type wireTimeouts struct {
	AttemptMs  int64 `toml:"attemptMs"`
	PeerMs     int64 `toml:"peerMs"`
	DialMs     int64 `toml:"dialMs"`
	PlatformMs int64 `toml:"platformMs"`
	MaxWaitMs  int64 `toml:"maxWaitMs"`
	PollMs     int64 `toml:"pollMs"`
	TickMs     int64 `toml:"tickMs"`
	ShutdownMs int64 `toml:"shutdownMs"`
}

// Load reads a TOML file over the defaults. Unknown keys are refused by name.
func Load(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "read settings")
	}
	w := encode(Default())
	decoder := toml.NewDecoder(bytes.NewReader(body)).DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		return Settings{}, errors.Annotatef(explain(err), "decode settings %s", path)
	}
	return decode(w), nil
}

// explain names the unknown keys, which the library's own message leaves out.
func explain(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return errors.New("unknown key:\n" + strict.String())
	}
	return err
}

func encode(s Settings) wireSettings {
	return wireSettings{
		VM:               string(s.VM),
		DataCentre:       string(s.DataCentre),
		Size:             int(s.Size),
		CallerAddress:    s.CallerAddress,
		PeerAddress:      s.PeerAddress,
		PlatformAddress:  s.PlatformAddress,
		GovernanceDigest: string(s.GovernanceDigest),
		SeedPeers:        s.SeedPeers,
		Limits: wireLimits{
			BodyBytes:           s.Limits.BodyBytes,
			ResultBytes:         s.Limits.ResultBytes,
			TasksPerJob:         s.Limits.TasksPerJob,
			QueuedTasks:         s.Limits.QueuedTasks,
			ReservedIDs:         s.Limits.ReservedIDs,
			Mailbox:             s.Limits.Mailbox,
			EndpointConnections: int(s.Limits.EndpointConnections),
		},
		Timeouts: wireTimeouts{
			AttemptMs:  int64(s.Timeouts.Attempt),
			PeerMs:     int64(s.Timeouts.Peer),
			DialMs:     int64(s.Timeouts.Dial),
			PlatformMs: int64(s.Timeouts.Platform),
			MaxWaitMs:  int64(s.Timeouts.MaxWait),
			PollMs:     int64(s.Timeouts.Poll),
			TickMs:     int64(s.Timeouts.Tick),
			ShutdownMs: int64(s.Timeouts.Shutdown),
		},
	}
}

func decode(w wireSettings) Settings {
	return Settings{
		VM:               vm.ID(w.VM),
		DataCentre:       datacentre.ID(w.DataCentre),
		Size:             vm.Size(w.Size),
		CallerAddress:    w.CallerAddress,
		PeerAddress:      w.PeerAddress,
		PlatformAddress:  w.PlatformAddress,
		GovernanceDigest: bundle.Digest(w.GovernanceDigest),
		SeedPeers:        w.SeedPeers,
		Limits: Limits{
			BodyBytes:           w.Limits.BodyBytes,
			ResultBytes:         w.Limits.ResultBytes,
			TasksPerJob:         w.Limits.TasksPerJob,
			QueuedTasks:         w.Limits.QueuedTasks,
			ReservedIDs:         w.Limits.ReservedIDs,
			Mailbox:             w.Limits.Mailbox,
			EndpointConnections: datacentre.Connections(w.Limits.EndpointConnections),
		},
		Timeouts: Timeouts{
			Attempt:  clock.Millis(w.Timeouts.AttemptMs),
			Peer:     clock.Millis(w.Timeouts.PeerMs),
			Dial:     clock.Millis(w.Timeouts.DialMs),
			Platform: clock.Millis(w.Timeouts.PlatformMs),
			MaxWait:  clock.Millis(w.Timeouts.MaxWaitMs),
			Poll:     clock.Millis(w.Timeouts.PollMs),
			Tick:     clock.Millis(w.Timeouts.TickMs),
			Shutdown: clock.Millis(w.Timeouts.ShutdownMs),
		},
	}
}
