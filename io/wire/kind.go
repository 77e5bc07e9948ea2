package wire

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// Kind tells the type of the message in a frame.
type Kind uint8

// Kinds of messages, in the order of the schema.
const (
	KindHello Kind = iota + 1
	KindChallenge
	KindAnswer
	KindReport
	KindHomes
	KindRun
	KindResult
	KindHold
	KindHoldReply
	KindFree
	KindGang
	KindPark
	KindRelease
	KindRenew
	KindStop
	KindCancel
	KindFetch
	KindDone
	KindAskConfig
	KindConfig
	KindPeers
	KindDrain
	KindWorkerReport
	KindWorkerOrders
	KindJobQuery
	KindJobAnswer
	KindQueueQuery
	KindQueueAnswer
	KindYield
	KindRenewed
	KindSubmitJob
	KindSubmitAnswer
	KindExplainQuery
	KindExplainAnswer
	KindStatusQuery
	KindStatusAnswer
	KindTaken
)

// Message is a message of the schema.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	msgp.Sizer
	Kind() Kind
}

// UnknownKindError tells of a frame whose kind is not in the schema.
type UnknownKindError struct {
	Kind Kind
}

// Error describes the unknown kind.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("wire: unknown message kind %d", e.Kind)
}

var makers = map[Kind]func() Message{
	KindHello:         func() Message { return new(Hello) },
	KindChallenge:     func() Message { return new(Challenge) },
	KindAnswer:        func() Message { return new(Answer) },
	KindReport:        func() Message { return new(Report) },
	KindHomes:         func() Message { return new(Homes) },
	KindRun:           func() Message { return new(Run) },
	KindResult:        func() Message { return new(Result) },
	KindHold:          func() Message { return new(Hold) },
	KindHoldReply:     func() Message { return new(HoldReply) },
	KindFree:          func() Message { return new(Free) },
	KindGang:          func() Message { return new(Gang) },
	KindPark:          func() Message { return new(Park) },
	KindRelease:       func() Message { return new(Release) },
	KindRenew:         func() Message { return new(Renew) },
	KindStop:          func() Message { return new(Stop) },
	KindCancel:        func() Message { return new(Cancel) },
	KindFetch:         func() Message { return new(Fetch) },
	KindDone:          func() Message { return new(Done) },
	KindAskConfig:     func() Message { return new(AskConfig) },
	KindConfig:        func() Message { return new(Config) },
	KindPeers:         func() Message { return new(Peers) },
	KindDrain:         func() Message { return new(Drain) },
	KindWorkerReport:  func() Message { return new(WorkerReport) },
	KindWorkerOrders:  func() Message { return new(WorkerOrders) },
	KindJobQuery:      func() Message { return new(JobQuery) },
	KindJobAnswer:     func() Message { return new(JobAnswer) },
	KindQueueQuery:    func() Message { return new(QueueQuery) },
	KindQueueAnswer:   func() Message { return new(QueueAnswer) },
	KindYield:         func() Message { return new(Yield) },
	KindRenewed:       func() Message { return new(Renewed) },
	KindSubmitJob:     func() Message { return new(SubmitJob) },
	KindSubmitAnswer:  func() Message { return new(SubmitAnswer) },
	KindExplainQuery:  func() Message { return new(ExplainQuery) },
	KindExplainAnswer: func() Message { return new(ExplainAnswer) },
	KindStatusQuery:   func() Message { return new(StatusQuery) },
	KindStatusAnswer:  func() Message { return new(StatusAnswer) },
	KindTaken:         func() Message { return new(Taken) },
}

// Make returns an empty message of kind k.
func Make(k Kind) (Message, error) {
	mk, ok := makers[k]
	if !ok {
		return nil, &UnknownKindError{Kind: k}
	}
	return mk(), nil
}

// Kind returns the kind of the message.
func (*Hello) Kind() Kind { return KindHello }

// Kind returns the kind of the message.
func (*Challenge) Kind() Kind { return KindChallenge }

// Kind returns the kind of the message.
func (*Answer) Kind() Kind { return KindAnswer }

// Kind returns the kind of the message.
func (*Report) Kind() Kind { return KindReport }

// Kind returns the kind of the message.
func (*Homes) Kind() Kind { return KindHomes }

// Kind returns the kind of the message.
func (*Run) Kind() Kind { return KindRun }

// Kind returns the kind of the message.
func (*Result) Kind() Kind { return KindResult }

// Kind returns the kind of the message.
func (*Hold) Kind() Kind { return KindHold }

// Kind returns the kind of the message.
func (*HoldReply) Kind() Kind { return KindHoldReply }

// Kind returns the kind of the message.
func (*Free) Kind() Kind { return KindFree }

// Kind returns the kind of the message.
func (*Gang) Kind() Kind { return KindGang }

// Kind returns the kind of the message.
func (*Park) Kind() Kind { return KindPark }

// Kind returns the kind of the message.
func (*Release) Kind() Kind { return KindRelease }

// Kind returns the kind of the message.
func (*Renew) Kind() Kind { return KindRenew }

// Kind returns the kind of the message.
func (*Stop) Kind() Kind { return KindStop }

// Kind returns the kind of the message.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind returns the kind of the message.
func (*Fetch) Kind() Kind { return KindFetch }

// Kind returns the kind of the message.
func (*Done) Kind() Kind { return KindDone }

// Kind returns the kind of the message.
func (*AskConfig) Kind() Kind { return KindAskConfig }

// Kind returns the kind of the message.
func (*Config) Kind() Kind { return KindConfig }

// Kind returns the kind of the message.
func (*Peers) Kind() Kind { return KindPeers }

// Kind returns the kind of the message.
func (*Drain) Kind() Kind { return KindDrain }

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
func (*Yield) Kind() Kind { return KindYield }

// Kind returns the kind of the message.
func (*Renewed) Kind() Kind { return KindRenewed }

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
func (*Taken) Kind() Kind { return KindTaken }
