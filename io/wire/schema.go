// Package wire defines the messages that entries, agents and schedulers
// exchange.
//
// schema.go and job.go are the schema; msgp generates the codecs in
// schema_gen.go and job_gen.go. Messages are msgpack maps with snake_case keys,
// so decoders skip unknown fields. The types in the msgp:tuple directive of job.go
// are arrays, whose fields have a fixed order and number.
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

// Protocol is the version of the message set. Hello carries it.
const Protocol = 1

// Role is the kind of a process.
type Role string

// Roles of the processes that open control connections.
const (
	RoleEntry Role = "entry" // accepts requests from callers
	RoleAgent Role = "agent" // runs work on the worker beside it
)

// Outcome is the outcome of an attempt to run a request.
type Outcome string

// Outcomes. The first three are final. After any other the entry places the
// request again or, after OutcomeHeldBy, asks the holder of the claim.
const (
	OutcomeRan       Outcome = "ran"
	OutcomeNotRun    Outcome = "not-run"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeRefused   Outcome = "refused" // not started
	OutcomePreempted Outcome = "preempted"
	OutcomeHeldBy    Outcome = "held-by" // another attempt holds the claim
)

// Reason is the machine-readable cause of an outcome.
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

// State is the readiness of a worker, as reported by its agent.
type State string

// States of a worker.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateGone     State = "gone"
)

// Demand is an amount of a worker's resources: required, free or in total.
type Demand struct {
	Slots        int `msg:"slots"`
	Accelerators int `msg:"accelerators"`
}

// Hello opens a connection. Nonce is random and unique per connection.
type Hello struct {
	Protocol    int            `msg:"protocol"`
	Role        Role           `msg:"role"`
	Name        string         `msg:"name"`
	Incarnation uint64         `msg:"incarnation"`
	Address     netip.AddrPort `msg:"address"`
	Nonce       []byte         `msg:"nonce"`
}

// Challenge is the reply to a Hello. Proof is the acceptor's HMAC of both nonces.
type Challenge struct {
	Hello Hello  `msg:"hello"`
	Proof []byte `msg:"proof"`
}

// ChallengeResponse completes the handshake. Proof is the dialer's HMAC of both
// nonces.
type ChallengeResponse struct {
	Proof []byte `msg:"proof"`
}

// Usage is one customer's usage of a worker, per shape and guest flag. Shape is
// the shape of the home in use, empty for borrowed resources. Guest is set for
// work whose own shape differs from the home's. Mine is the part of Used that
// the receiving entry placed.
type Usage struct {
	Customer string `msg:"customer"`
	Shape    string `msg:"shape"`
	Guest    bool   `msg:"guest"`
	Used     Demand `msg:"used"`
	Mine     Demand `msg:"mine"`
}

// Report is an agent's heartbeat, with the state of its worker.
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

// Home is the part of a worker that the plan reserves for a customer's shape.
type Home struct {
	Customer string `msg:"customer"`
	Shape    string `msg:"shape"`
	Demand   Demand `msg:"demand"`
}

// Homes tells an agent the plan's homes on its worker.
type Homes struct {
	ConfigVersion uint64 `msg:"config_version"`
	PlanVersion   uint64 `msg:"plan_version"`
	Homes         []Home `msg:"homes"`
}

// RunRequest asks an agent to admit and run a request on its worker.
// Timeout is the time left until the caller's deadline. Home is the shape of the
// home to use, empty for borrowed resources. Guest is set if the work's own
// shape differs from it.
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

// Result ends an attempt. Digest is the SHA-256 of Body. Free is what the worker
// has free after the attempt. Holder is set with OutcomeHeldBy.
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

// Hold reserves part of a worker for one member of a gang. The reservation
// expires after Limit unless the gang's lead has sent PrepareMember by then.
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

// HoldReply is the reply to a Hold. If refused, Free is what the worker has free.
type HoldReply struct {
	Granted bool   `msg:"granted"`
	Reason  Reason `msg:"reason"`
	Free    Demand `msg:"free"`
}

// FreeHold releases a hold unless its member has been prepared.
type FreeHold struct {
	Request string `msg:"request"`
	Attempt int    `msg:"attempt"`
}

// Member is one worker of a gang.
type Member struct {
	Worker  string         `msg:"worker"`
	Address netip.AddrPort `msg:"address"`
}

// StartGang asks the first member of a gang, its lead, to run the gang. All holds
// have been granted.
type StartGang struct {
	Run     RunRequest `msg:"run"`
	Members []Member   `msg:"members"`
}

// PrepareMember asks a member of a gang to load its part without starting it.
type PrepareMember struct {
	Run   RunRequest    `msg:"run"`
	Rank  int           `msg:"rank"`
	Size  int           `msg:"size"`
	Lease time.Duration `msg:"lease"`
}

// ReleaseMember asks a prepared member to start. The reply is its Result.
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

// StopMember stops a member of a gang: with a checkpoint if Reason is
// ReasonPreempted, immediately otherwise. The lead of a gang stops the whole gang. A
// single task is preempted.
type StopMember struct {
	Request string `msg:"request"`
	Attempt int    `msg:"attempt"`
	Reason  Reason `msg:"reason"`
}

// CancelRequest cancels a customer's request. The reply is a Result.
type CancelRequest struct {
	Request  string `msg:"request"`
	Customer string `msg:"customer"`
}

// FetchResult asks an agent for the result of a request or, if Key is set, of the
// claim that the agent holds. The reply waits for running work. If Attempt has
// not arrived, the agent refuses it and will not run it if it arrives later.
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

// ConfigQuery asks a peer entry for its latest configuration and plan. The
// versions are those that the sender has.
type ConfigQuery struct {
	ConfigVersion uint64 `msg:"config_version"`
	PlanVersion   uint64 `msg:"plan_version"`
}

// LastSeen is the time since an entry last received news of a worker in service.
type LastSeen struct {
	Worker string        `msg:"worker"`
	Age    time.Duration `msg:"age"`
}

// ConfigAnswer is the reply to a ConfigQuery. Config and Plan are the rows as
// stored, empty unless they are newer than the asker's. Seen is the sender's
// view of the workers.
type ConfigAnswer struct {
	ConfigVersion uint64     `msg:"config_version"`
	Config        []byte     `msg:"config,limit=16777216"`
	PlanVersion   uint64     `msg:"plan_version"`
	Plan          []byte     `msg:"plan,limit=16777216"`
	Seen          []LastSeen `msg:"seen"`
}

// Peers lists the control addresses of all entries known to the sender.
type Peers struct {
	Entries []netip.AddrPort `msg:"entries"`
}

// DrainWorker asks an agent to take its worker out of service.
type DrainWorker struct {
	Worker string `msg:"worker"`
}
