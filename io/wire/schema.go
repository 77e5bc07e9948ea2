// Package wire holds the messages that the processes of the system exchange.
//
// schema.go is the schema: msgp reads it and writes the codec to
// schema_gen.go. Every message is a msgpack map with snake_case keys, so a
// reader skips the fields that it does not know.
package wire

import (
	"net/netip"
	"time"
)

//go:generate go tool msgp -file schema.go -o schema_gen.go -tests=false -io=false

//msgp:limit arrays:16384 maps:256
//msgp:shim netip.AddrPort as:string using:formatAddr/parseAddr mode:convert
//msgp:shim Outcome as:string using:string/Outcome
//msgp:shim Reason as:string using:string/Reason
//msgp:shim State as:string using:string/State
//msgp:shim Role as:string using:string/Role

// Protocol is the version of the message set, sent in the hello.
const Protocol = 1

// Role names the part that a process plays.
type Role string

// Roles of the processes that open control connections.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Outcome says what became of a request.
type Outcome string

// Outcomes. The first three end a request; the others are answers of an agent
// to an entry, which then places the request again or asks the holder.
const (
	OutcomeRan       Outcome = "ran"
	OutcomeNotRun    Outcome = "not-run"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeRefused   Outcome = "refused"
	OutcomePreempted Outcome = "preempted"
	OutcomeHeldBy    Outcome = "held-by"
)

// Reason is the short machine-readable cause of an outcome.
type Reason string

// Reasons that appear in log lines, problem documents and metrics.
const (
	ReasonNone              Reason = ""
	ReasonBusy              Reason = "busy"
	ReasonNoUpstream        Reason = "no_upstream"
	ReasonDraining          Reason = "draining"
	ReasonExpired           Reason = "deadline_expired"
	ReasonCancelled         Reason = "cancelled"
	ReasonClaimedElsewhere  Reason = "claimed_elsewhere"
	ReasonStoreUnavailable  Reason = "store_unavailable"
	ReasonUpstreamError     Reason = "upstream_error"
	ReasonLeaseLost         Reason = "lease_lost"
	ReasonAgentLost         Reason = "agent_lost"
	ReasonPreempted         Reason = "preempted"
	ReasonDigestMismatch    Reason = "answer_digest_mismatch"
	ReasonStalePlan         Reason = "stale_plan"
	ReasonQueueFull         Reason = "queue_full"
	ReasonShapeDoesNotFit   Reason = "shape_does_not_fit"
	ReasonAttemptsExhausted Reason = "attempts_exhausted"
	ReasonUnknownRequest    Reason = "unknown_request"
	ReasonGangBroken        Reason = "gang_broken"
	ReasonShutdown          Reason = "shutdown"
	ReasonKeyReused         Reason = "key_reused_with_other_body"
	ReasonNeverArrived      Reason = "never_arrived"
	ReasonAlreadyStarted    Reason = "already_started"
	ReasonHolderGaveUp      Reason = "holder_gave_up"
)

// State is the readiness of a worker as its agent reports it.
type State string

// States of a worker.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateGone     State = "gone"
)

// Demand is an amount of a worker's resources.
type Demand struct {
	Slots        int `msg:"slots"`
	Accelerators int `msg:"accelerators"`
}

// Hello opens a connection. Nonce is random and fresh for each connection.
type Hello struct {
	Protocol    int            `msg:"protocol"`
	Role        Role           `msg:"role"`
	Name        string         `msg:"name"`
	Incarnation uint64         `msg:"incarnation"`
	Address     netip.AddrPort `msg:"address"`
	Nonce       []byte         `msg:"nonce"`
}

// Challenge answers a Hello. Proof is the HMAC of both nonces.
type Challenge struct {
	Hello Hello  `msg:"hello"`
	Proof []byte `msg:"proof"`
}

// ChallengeResponse ends the handshake with the dialer's own HMAC of both nonces.
type ChallengeResponse struct {
	Proof []byte `msg:"proof"`
}

// Usage is what one customer uses of a worker in one way. Shape is that of the
// home, empty for borrowed resources; Guest is set for work of another shape
// than the home's. Mine is the part of Used that the receiving entry sent.
type Usage struct {
	Customer string `msg:"customer"`
	Shape    string `msg:"shape"`
	Guest    bool   `msg:"guest"`
	Used     Demand `msg:"used"`
	Mine     Demand `msg:"mine"`
}

// Report is the heartbeat of an agent: the state of its worker.
type Report struct {
	Worker        string         `msg:"worker"`
	Incarnation   uint64         `msg:"incarnation"`
	Sequence      uint64         `msg:"sequence"`
	Address       netip.AddrPort `msg:"address"`
	Zone          string         `msg:"zone"`
	Rack          string         `msg:"rack"`
	State         State          `msg:"state"`
	Capacity      Demand         `msg:"capacity"`
	Free          Demand         `msg:"free"`
	Usage         []Usage        `msg:"usage"`
	Services      []string       `msg:"services"`
	Running       int            `msg:"running"`
	ConfigVersion uint64         `msg:"config_version"`
	PlanVersion   uint64         `msg:"plan_version"`
}

// Home is the part of a worker that the plan binds to a customer's shape.
type Home struct {
	Customer string `msg:"customer"`
	Shape    string `msg:"shape"`
	Demand   Demand `msg:"demand"`
}

// Homes carries the plan's homes on one worker to its agent.
type Homes struct {
	ConfigVersion uint64 `msg:"config_version"`
	PlanVersion   uint64 `msg:"plan_version"`
	Homes         []Home `msg:"homes"`
}

// RunRequest asks an agent to admit and run a request on its worker.
// Timeout is what remains of the caller's deadline. Home is the shape of the
// home that the work is to use, empty for borrowed resources; Guest is set if
// the work has another shape.
type RunRequest struct {
	Request     string        `msg:"request"`
	Attempt     int           `msg:"attempt"`
	Customer    string        `msg:"customer"`
	Service     string        `msg:"service"`
	Key         string        `msg:"key"`
	Repeatable  bool          `msg:"repeatable"`
	Demand      Demand        `msg:"demand"`
	Home        string        `msg:"home"`
	Guest       bool          `msg:"guest"`
	Timeout     time.Duration `msg:"timeout"`
	Grace       time.Duration `msg:"grace"`
	ContentType string        `msg:"content_type"`
	Checkpoint  string        `msg:"checkpoint"`
	Body        []byte        `msg:"body,limit=16777216"`
}

// Result ends an attempt. Digest is the SHA-256 of Body. Free is the free
// state of the worker after the attempt. Holder is set with HeldBy.
type Result struct {
	Request     string         `msg:"request"`
	Attempt     int            `msg:"attempt"`
	Customer    string         `msg:"customer"`
	Outcome     Outcome        `msg:"outcome"`
	Reason      Reason         `msg:"reason"`
	Status      int            `msg:"status"`
	ContentType string         `msg:"content_type"`
	Body        []byte         `msg:"body,limit=16777216"`
	Digest      []byte         `msg:"digest"`
	Checkpoint  string         `msg:"checkpoint"`
	Holder      netip.AddrPort `msg:"holder"`
	Free        Demand         `msg:"free"`
	HolderToken string         `msg:"holder_token"`
	Started     bool           `msg:"started"`
}

// Hold asks for part of a worker for one member of a gang. It lapses after
// Limit unless the gang's lead parks the member.
type Hold struct {
	Request  string        `msg:"request"`
	Attempt  int           `msg:"attempt"`
	Customer string        `msg:"customer"`
	Demand   Demand        `msg:"demand"`
	Home     string        `msg:"home"`
	Guest    bool          `msg:"guest"`
	Limit    time.Duration `msg:"limit"`
	Grace    time.Duration `msg:"grace"`
}

// HoldReply answers a Hold. A refusal carries the free state of the worker.
type HoldReply struct {
	Granted bool   `msg:"granted"`
	Reason  Reason `msg:"reason"`
	Free    Demand `msg:"free"`
}

// FreeHold gives up a hold, or an attempt that has not started.
type FreeHold struct {
	Request string `msg:"request"`
	Attempt int    `msg:"attempt"`
}

// Member is one worker of a gang.
type Member struct {
	Worker  string         `msg:"worker"`
	Address netip.AddrPort `msg:"address"`
}

// StartGang hands a gang whose holds are all granted to its lead, the first member.
type StartGang struct {
	Run     RunRequest `msg:"run"`
	Members []Member   `msg:"members"`
}

// PrepareMember asks a member to load its part of a gang without starting it.
type PrepareMember struct {
	Run   RunRequest    `msg:"run"`
	Rank  int           `msg:"rank"`
	Size  int           `msg:"size"`
	Lease time.Duration `msg:"lease"`
}

// ReleaseMember asks a parked member to start. The reply is its Result.
type ReleaseMember struct {
	Request string        `msg:"request"`
	Attempt int           `msg:"attempt"`
	Lease   time.Duration `msg:"lease"`
}

// RenewMember extends the lease of a member of a gang.
type RenewMember struct {
	Request string        `msg:"request"`
	Attempt int           `msg:"attempt"`
	Lease   time.Duration `msg:"lease"`
}

// StopMember ends the member of a gang at once.
type StopMember struct {
	Request string `msg:"request"`
	Attempt int    `msg:"attempt"`
	Reason  Reason `msg:"reason"`
}

// CancelRequest asks for a request of a customer not to run. The reply is a Result.
type CancelRequest struct {
	Request  string `msg:"request"`
	Customer string `msg:"customer"`
}

// FetchResult asks an agent for the result of a request, or of the claim that it
// holds if Key is set. It waits for work that still runs. With an Attempt that
// never arrived, the agent answers that it will not run.
type FetchResult struct {
	Request  string `msg:"request"`
	Attempt  int    `msg:"attempt"`
	Customer string `msg:"customer"`
	Service  string `msg:"service"`
	Key      string `msg:"key"`
}

// Ack acknowledges a message that needs no other reply.
type Ack struct {
	OK     bool   `msg:"ok"`
	Reason Reason `msg:"reason"`
}

// ConfigQuery asks a peer entry for its newest configuration and plan.
type ConfigQuery struct {
	ConfigVersion uint64 `msg:"config_version"`
	PlanVersion   uint64 `msg:"plan_version"`
}

// LastSeen tells how long ago an entry last heard of a worker that is in service.
type LastSeen struct {
	Worker string        `msg:"worker"`
	Age    time.Duration `msg:"age"`
}

// ConfigAnswer carries the rows of the configuration and of the plan, as stored, if
// they are newer than those of the asker, and the sender's view of the fleet.
type ConfigAnswer struct {
	ConfigVersion uint64     `msg:"config_version"`
	Config        []byte     `msg:"config,limit=16777216"`
	PlanVersion   uint64     `msg:"plan_version"`
	Plan          []byte     `msg:"plan,limit=16777216"`
	Seen          []LastSeen `msg:"seen"`
}

// Peers lists the control addresses of the entries that the sender knows.
type Peers struct {
	Entries []netip.AddrPort `msg:"entries"`
}

// DrainWorker asks an agent to take its worker out of service.
type DrainWorker struct {
	Worker string `msg:"worker"`
}
