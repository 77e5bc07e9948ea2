package wire

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// Kind identifies the type of the message in a frame.
type Kind uint8

// Kinds of messages. The numbers are on the wire: append new kinds at the end.
const (
	KindHello Kind = iota + 1
	KindChallenge
	KindChallengeResponse
	KindReport
	KindHomes
	KindRunRequest
	KindResult
	KindHold
	KindHoldReply
	KindFreeHold
	KindStartGang
	KindPrepareMember
	KindReleaseMember
	KindRenewMember
	KindStopMember
	KindCancelRequest
	KindFetchResult
	KindAck
	KindConfigQuery
	KindConfigAnswer
	KindPeers
	KindDrainWorker
	KindWorkerReport
	KindWorkerOrders
	KindJobQuery
	KindJobAnswer
	KindQueueQuery
	KindQueueAnswer
	KindLeaseOffer
	KindLeaseRenewed
	KindSubmitJob
	KindSubmitAnswer
	KindExplainQuery
	KindExplainAnswer
	KindStatusQuery
	KindStatusAnswer
	KindLeaseTaken
)

// Message is any message of the schema.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	msgp.Sizer
	Kind() Kind
}

// UnknownKindError reports a frame whose kind is not in the schema.
type UnknownKindError struct {
	Kind Kind
}

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("wire: unknown message kind %d", e.Kind)
}

var constructors = map[Kind]func() Message{
	KindHello:             func() Message { return new(Hello) },
	KindChallenge:         func() Message { return new(Challenge) },
	KindChallengeResponse: func() Message { return new(ChallengeResponse) },
	KindReport:            func() Message { return new(Report) },
	KindHomes:             func() Message { return new(Homes) },
	KindRunRequest:        func() Message { return new(RunRequest) },
	KindResult:            func() Message { return new(Result) },
	KindHold:              func() Message { return new(Hold) },
	KindHoldReply:         func() Message { return new(HoldReply) },
	KindFreeHold:          func() Message { return new(FreeHold) },
	KindStartGang:         func() Message { return new(StartGang) },
	KindPrepareMember:     func() Message { return new(PrepareMember) },
	KindReleaseMember:     func() Message { return new(ReleaseMember) },
	KindRenewMember:       func() Message { return new(RenewMember) },
	KindStopMember:        func() Message { return new(StopMember) },
	KindCancelRequest:     func() Message { return new(CancelRequest) },
	KindFetchResult:       func() Message { return new(FetchResult) },
	KindAck:               func() Message { return new(Ack) },
	KindConfigQuery:       func() Message { return new(ConfigQuery) },
	KindConfigAnswer:      func() Message { return new(ConfigAnswer) },
	KindPeers:             func() Message { return new(Peers) },
	KindDrainWorker:       func() Message { return new(DrainWorker) },
	KindWorkerReport:      func() Message { return new(WorkerReport) },
	KindWorkerOrders:      func() Message { return new(WorkerOrders) },
	KindJobQuery:          func() Message { return new(JobQuery) },
	KindJobAnswer:         func() Message { return new(JobAnswer) },
	KindQueueQuery:        func() Message { return new(QueueQuery) },
	KindQueueAnswer:       func() Message { return new(QueueAnswer) },
	KindLeaseOffer:        func() Message { return new(LeaseOffer) },
	KindLeaseRenewed:      func() Message { return new(LeaseRenewed) },
	KindSubmitJob:         func() Message { return new(SubmitJob) },
	KindSubmitAnswer:      func() Message { return new(SubmitAnswer) },
	KindExplainQuery:      func() Message { return new(ExplainQuery) },
	KindExplainAnswer:     func() Message { return new(ExplainAnswer) },
	KindStatusQuery:       func() Message { return new(StatusQuery) },
	KindStatusAnswer:      func() Message { return new(StatusAnswer) },
	KindLeaseTaken:        func() Message { return new(LeaseTaken) },
}

// NewMessage returns an empty message of kind k.
func NewMessage(k Kind) (Message, error) {
	construct, ok := constructors[k]
	if !ok {
		return nil, &UnknownKindError{Kind: k}
	}
	return construct(), nil
}

// Kind returns the kind of the message.
func (*Hello) Kind() Kind { return KindHello }

// Kind returns the kind of the message.
func (*Challenge) Kind() Kind { return KindChallenge }

// Kind returns the kind of the message.
func (*ChallengeResponse) Kind() Kind { return KindChallengeResponse }

// Kind returns the kind of the message.
func (*Report) Kind() Kind { return KindReport }

// Kind returns the kind of the message.
func (*Homes) Kind() Kind { return KindHomes }

// Kind returns the kind of the message.
func (*RunRequest) Kind() Kind { return KindRunRequest }

// Kind returns the kind of the message.
func (*Result) Kind() Kind { return KindResult }

// Kind returns the kind of the message.
func (*Hold) Kind() Kind { return KindHold }

// Kind returns the kind of the message.
func (*HoldReply) Kind() Kind { return KindHoldReply }

// Kind returns the kind of the message.
func (*FreeHold) Kind() Kind { return KindFreeHold }

// Kind returns the kind of the message.
func (*StartGang) Kind() Kind { return KindStartGang }

// Kind returns the kind of the message.
func (*PrepareMember) Kind() Kind { return KindPrepareMember }

// Kind returns the kind of the message.
func (*ReleaseMember) Kind() Kind { return KindReleaseMember }

// Kind returns the kind of the message.
func (*RenewMember) Kind() Kind { return KindRenewMember }

// Kind returns the kind of the message.
func (*StopMember) Kind() Kind { return KindStopMember }

// Kind returns the kind of the message.
func (*CancelRequest) Kind() Kind { return KindCancelRequest }

// Kind returns the kind of the message.
func (*FetchResult) Kind() Kind { return KindFetchResult }

// Kind returns the kind of the message.
func (*Ack) Kind() Kind { return KindAck }

// Kind returns the kind of the message.
func (*ConfigQuery) Kind() Kind { return KindConfigQuery }

// Kind returns the kind of the message.
func (*ConfigAnswer) Kind() Kind { return KindConfigAnswer }

// Kind returns the kind of the message.
func (*Peers) Kind() Kind { return KindPeers }

// Kind returns the kind of the message.
func (*DrainWorker) Kind() Kind { return KindDrainWorker }

// Kind returns the kind of the message.
func (*WorkerReport) Kind() Kind { return KindWorkerReport }

// Kind returns the kind of the message.
func (*WorkerOrders) Kind() Kind { return KindWorkerOrders }

// Kind returns the kind of the message.
func (*JobQuery) Kind() Kind { return KindJobQuery }

// Kind returns the kind of the message.
func (*JobAnswer) Kind() Kind { return KindJobAnswer }

// Kind returns the kind of the message.
func (*QueueQuery) Kind() Kind { return KindQueueQuery }

// Kind returns the kind of the message.
func (*QueueAnswer) Kind() Kind { return KindQueueAnswer }

// Kind returns the kind of the message.
func (*LeaseOffer) Kind() Kind { return KindLeaseOffer }

// Kind returns the kind of the message.
func (*LeaseRenewed) Kind() Kind { return KindLeaseRenewed }

// Kind returns the kind of the message.
func (*SubmitJob) Kind() Kind { return KindSubmitJob }

// Kind returns the kind of the message.
func (*SubmitAnswer) Kind() Kind { return KindSubmitAnswer }

// Kind returns the kind of the message.
func (*ExplainQuery) Kind() Kind { return KindExplainQuery }

// Kind returns the kind of the message.
func (*ExplainAnswer) Kind() Kind { return KindExplainAnswer }

// Kind returns the kind of the message.
func (*StatusQuery) Kind() Kind { return KindStatusQuery }

// Kind returns the kind of the message.
func (*StatusAnswer) Kind() Kind { return KindStatusAnswer }

// Kind returns the kind of the message.
func (*LeaseTaken) Kind() Kind { return KindLeaseTaken }
