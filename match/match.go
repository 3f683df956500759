// Package match decides whether an answer of a database can belong to the request for which
// it was received (pure). The databases' protocol has no request ID in answers, and a database
// may answer a request twice: the second answer would be taken for that to the next request,
// and each further one for that to the request after its own.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  14. What a request's answer shows is its kind, its proof and its state. A statement's
//     success has a proof that the connection has not received before, and is read on for past
//     answers that must be earlier ones. The log's end doesn't move back on a connection. Only
//     the first error on a connection is believed, since errors are alike. Reports are alike as
//     well, and so are answers to BEGIN: they are confirmed by barriers, requests without effect
//     whose answers, plain successes, follow only if theirs came before.
package match

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/proto"
)

// maxProofs is the number of a connection's last proofs that are compared with a new one.
const maxProofs = 128

// Reason is why an answer can't belong to a request.
type Reason string

// The reasons. The zero value means that the answer may belong to the request.
const (
	// ProofRepeated means that an earlier answer on the connection had the same proof.
	ProofRepeated Reason = "proofRepeated"
	// NoProof means that the success of a statement has no proof.
	NoProof Reason = "noProof"
	// UnexpectedProof means that a request which is no statement has an answer with a proof.
	UnexpectedProof Reason = "unexpectedProof"
	// UnexpectedRows means that an answer has rows, or a report not one row.
	UnexpectedRows Reason = "rows"
	// WrongState means that the transaction state can't follow from the request.
	WrongState Reason = "state"
	// EarlierPosition means that the end of the log is before that in an earlier answer.
	EarlierPosition Reason = "position"
	// ErrorRepeated means that an earlier answer on the connection was an error too.
	ErrorRepeated Reason = "errorRepeated"
	// NoBarrier means that an answer was not followed by the answer to a barrier.
	NoBarrier Reason = "barrier"
)

// seenProof has the hashes of a proof and of the rows that came with it.
type seenProof struct{ proof, rows uint64 }

// Stream is what the answers on one connection have shown so far. The zero value is a new
// connection outside a transaction.
type Stream struct {
	// proofs has the last proofs; oldest is the index of the next to replace once there are
	// maxProofs.
	proofs []seenProof
	oldest int
	state  proto.State
	// position is the highest in an answer.
	position posn.Position
	// hasErred is set after an error, hasBegun after a BEGIN, hasReported after a report.
	hasErred, hasBegun, hasReported bool
}

// Check records the next answer on the connection and returns why it can't belong to the
// request; empty if it may.
func (stream *Stream) Check(request proto.Request, answer proto.Answer) Reason {
	if !answer.Position.IsZero() && !answer.Position.AtLeast(stream.position) {
		return EarlierPosition
	}
	previous := stream.state
	stream.state, stream.position = answer.State, posn.Max(stream.position, answer.Position)
	if answer.Code != proto.OK {
		return stream.checkError(request, previous, answer.State)
	}
	switch request := request.(type) {
	case proto.Forward:
		if request.IsCommit {
			return stream.checkStatement(answer, proto.Idle)
		}
		return stream.checkStatement(answer, previous)
	case proto.ForwardPrepared:
		return stream.checkStatement(answer, previous)
	case proto.Start:
		stream.hasBegun = true
		return stream.checkPlain(answer, proto.Open)
	case proto.AbortTransaction:
		return stream.checkPlain(answer, proto.Idle)
	case proto.GetReport, proto.Seal, proto.Unseal, proto.Demote:
		return stream.checkReport(answer, previous)
	}
	return stream.checkPlain(answer, previous)
}

// IsEarlier reports whether a success that was received for a statement must be the answer to an
// earlier request, and why: it has neither a proof nor rows, or a proof that the connection has
// received before, with the same rows. Other rows may be those of the statement, between which
// the earlier answer has come. Only one statement at a time is unanswered, so that a new proof is
// its own.
func (stream *Stream) IsEarlier(request proto.Request, answer proto.Answer) (Reason, bool) {
	switch {
	case !isStatement(request) || answer.Code != proto.OK:
		return "", false
	case answer.Proof == "":
		return NoProof, len(answer.Rows) == 0
	}
	seen, ok := stream.find(xxhash.Sum64String(answer.Proof))
	return ProofRepeated, ok && seen.rows == hashRows(answer.Rows)
}

// isStatement reports whether the success of a request has a proof.
func isStatement(request proto.Request) bool {
	switch request.(type) {
	case proto.Forward, proto.ForwardPrepared:
		return true
	}
	return false
}

// checkStatement checks the success of a statement after which the state is want.
func (stream *Stream) checkStatement(answer proto.Answer, want proto.State) Reason {
	switch {
	case answer.Proof == "":
		return NoProof
	case !stream.addProof(answer):
		return ProofRepeated
	case answer.State != want || want == proto.Broken:
		return WrongState
	}
	return ""
}

// checkPlain checks the success of a request that returns neither a proof nor rows.
func (stream *Stream) checkPlain(answer proto.Answer, want proto.State) Reason {
	switch {
	case answer.Proof != "":
		stream.addProof(answer)
		return UnexpectedProof
	case len(answer.Rows) > 0:
		return UnexpectedRows
	case answer.State != want || want == proto.Broken:
		return WrongState
	}
	return ""
}

// checkReport checks the success of a request that returns the database's report.
func (stream *Stream) checkReport(answer proto.Answer, want proto.State) Reason {
	stream.hasReported = true
	switch {
	case answer.Proof != "":
		stream.addProof(answer)
		return UnexpectedProof
	case len(answer.Rows) != 1:
		return UnexpectedRows
	case answer.State != want:
		return WrongState
	}
	return ""
}

// checkError checks an error. It leaves a transaction open or failed; only that of a commit or
// rollback may end it.
func (stream *Stream) checkError(request proto.Request, previous, state proto.State) Reason {
	if stream.hasErred {
		return ErrorRepeated
	}
	stream.hasErred = true
	isValid := state == previous
	switch {
	case endsTransaction(request):
		isValid = previous != proto.Idle || state == proto.Idle
	case previous == proto.Open:
		isValid = state != proto.Idle
	}
	if !isValid {
		return WrongState
	}
	return ""
}

func endsTransaction(request proto.Request) bool {
	switch request := request.(type) {
	case proto.Forward:
		return request.IsCommit
	case proto.AbortTransaction:
		return true
	}
	return false
}

// NeedsBarrier reports whether a barrier has to be sent with the request, since its success may
// be like an earlier one.
func (stream *Stream) NeedsBarrier(request proto.Request) bool {
	switch request.(type) {
	case proto.GetReport, proto.Seal, proto.Unseal, proto.Demote:
		return stream.hasReported
	case proto.Start:
		return stream.hasBegun
	}
	return false
}

// State returns the transaction state after the last answer.
func (stream *Stream) State() proto.State { return stream.state }

// HasErred reports whether the connection has given an error, so that a further one may be the
// second answer to its request.
func (stream *Stream) HasErred() bool { return stream.hasErred }

// find returns a proof that was received before.
func (stream *Stream) find(proof uint64) (seenProof, bool) {
	for _, seen := range stream.proofs {
		if seen.proof == proof {
			return seen, true
		}
	}
	return seenProof{}, false
}

// addProof adds the proof of an answer and reports whether it is new.
func (stream *Stream) addProof(answer proto.Answer) bool {
	added := seenProof{xxhash.Sum64String(answer.Proof), hashRows(answer.Rows)}
	if _, ok := stream.find(added.proof); ok {
		return false
	}
	if len(stream.proofs) < maxProofs {
		stream.proofs = append(stream.proofs, added)
		return true
	}
	stream.proofs[stream.oldest] = added
	stream.oldest = (stream.oldest + 1) % maxProofs
	return true
}

func hashRows(rows []string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, row := range rows {
		_, _ = digest.WriteString(row)
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}
