package node

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/crash"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// deadlyRecords are the proof against the first task of movedSubmission.
func deadlyRecords() []crash.Record {
	var all []crash.Record
	for _, id := range []datacentre.EndpointID{"f1", "f2"} {
		all = append(all, crash.Record{
			ID: crash.ID{Endpoint: id, Incarnation: 1}, Shard: "norte", Tasks: []job.TaskName{leader.TaskName(movedSubmission().Job.ID, 0, 0)},
			Age: 3000, Abrupt: true, Proved: true,
		})
	}
	all[0].Age = 5000
	return all
}

// wantFailedAtOnce submits the job again, and expects it to fail without a start.
func (h *harness) wantFailedAtOnce() {
	h.t.Helper()
	takeActions[LeaderAction](h)
	ended := make(chan job.Outcome, 1)
	h.handle(JobArrived{Job: movedSubmission().Job, Limit: 3000, WaitsSince: h.now, Accepted: make(chan job.Key, 1), Ended: ended})
	select {
	case o := <-ended:
		if got, want := o, (job.Failed{Task: leader.TaskName(movedSubmission().Job.ID, 0, 0)}); got != want {
			h.t.Errorf("got outcome %v, want %v", got, want)
		}
	default:
		h.t.Errorf("got no outcome, want the job to fail at once")
	}
	if got := len(startedTasks(h)); got != 0 {
		h.t.Errorf("got %d starts, want none", got)
	}
}

// Guards against a deadly task that crashes more endpoints at the leader of another shard, which has
// not seen the crashes: heartbeats tell it of them.
func TestLeaderLearnsOfCrashesFromHeartbeats(t *testing.T) {
	for name, tell := range map[string]func(*harness, CrashUpdate){
		"heartbeat": func(h *harness, u CrashUpdate) {
			h.handle(PeerHeartbeat{Request: HeartbeatRequest{Cell: "centro", From: newVM("norte", "n-1"), Crashes: u}, Reply: make(chan HeartbeatReply, 1)})
		},
		"answer": func(h *harness, u CrashUpdate) {
			h.answers["n-1"] = HeartbeatReply{From: "n-1", Home: true, Token: 5, Crashes: u}
			h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("norte", 9, "n-1", "m-1")}})
			h.advance(200)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := leaderOfCentro(t)
			tell(h, CrashUpdate{Records: deadlyRecords(), Revision: 2})
			h.wantFailedAtOnce()
		})
	}
}

// Guards against crashes that are forgotten when their leader is lost: the next leader has heard of
// them before.
func TestNextLeaderHasHeardOfCrashes(t *testing.T) {
	h := newHarness(t)
	h.handle(PeerHeartbeat{Request: HeartbeatRequest{Cell: "centro", From: newVM("norte", "n-1"), Crashes: CrashUpdate{Records: deadlyRecords(), Revision: 2}}, Reply: make(chan HeartbeatReply, 1)})
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "me-1", "peer-1", "n-1")}})
	h.advance(50)
	h.wantFailedAtOnce()
}

// Guards against a deadly task that starts again after the loss of all VMs: the store has the proof.
func TestCrashesOutlastAllVMs(t *testing.T) {
	h := newHarness(t)
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "me-1", "peer-1", "n-1")}})
	h.advance(50)
	if got, want := countActions[LoadCrashes](h), 1; got != want {
		t.Errorf("got %d reads of the crashes by the new leader, want %d", got, want)
	}
	h.handle(CrashesLoaded{Records: deadlyRecords()})
	h.wantFailedAtOnce()
}

// Guards against a proof that is not stored, or stored again with each submission of the same job.
func TestProofIsStoredOnce(t *testing.T) {
	h := leaderOfCentro(t)
	h.handle(CrashesLoaded{Records: deadlyRecords()})
	takeActions[SaveCrashes](h)
	for range 2 {
		h.handle(JobArrived{Job: movedSubmission().Job, Limit: 3000, WaitsSince: h.now, Accepted: make(chan job.Key, 1), Ended: make(chan job.Outcome, 1)})
	}
	saved := takeActions[SaveCrashes](h)
	if len(saved) != 1 || len(saved[0].Records) != 2 {
		t.Errorf("got writes %v, want one of two crashes", saved)
	}
}

// Guards against heartbeats that repeat the crashes that the receiver has, or that leave some out
// because an answer was lost.
func TestCrashesAreSentUntilReceived(t *testing.T) {
	h := leaderOfCentro(t)
	h.handle(CrashesLoaded{Records: deadlyRecords()})
	heartbeat := func(received crash.Revision) CrashUpdate {
		reply := make(chan HeartbeatReply, 1)
		h.handle(PeerHeartbeat{Request: HeartbeatRequest{Cell: "centro", From: newVM("centro", "peer-1"), Crashes: CrashUpdate{Received: received}}, Reply: reply})
		return (<-reply).Crashes
	}
	first, again := heartbeat(0), heartbeat(0)
	if got, want := len(again.Records), len(first.Records); got != want || want != 2 {
		t.Errorf("got %d and then %d records, want 2 until they are received", want, got)
	}
	if got := heartbeat(first.Revision); len(got.Records) != 0 {
		t.Errorf("got %v after all were received, want none", got.Records)
	}
}

// Guards against heartbeats that VMs of the version before cannot decode, or whose crashes are lost.
func TestHeartbeatsWithoutCrashesAreDecoded(t *testing.T) {
	type earlierReply struct {
		Home bool
		From string
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(HeartbeatReply{Home: true, From: "n-1", Crashes: CrashUpdate{Records: deadlyRecords(), Revision: 2}}); err != nil {
		t.Fatal(err)
	}
	var earlier earlierReply
	if err := gob.NewDecoder(&buffer).Decode(&earlier); err != nil || !earlier.Home {
		t.Errorf("got %+v and error %v, want the fields of the earlier version", earlier, err)
	}
	if err := gob.NewEncoder(&buffer).Encode(earlier); err != nil {
		t.Fatal(err)
	}
	var reply HeartbeatReply
	if err := gob.NewDecoder(&buffer).Decode(&reply); err != nil || !reply.Home {
		t.Errorf("got %+v and error %v, want the fields of the earlier version", reply, err)
	}
}
