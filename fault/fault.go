// Package fault has the verdict on a failed request and the error that carries
// it to the caller.
//
// Rules:
//
//  12. Every failure says whether the request may have run. NotRun is said only
//     if nothing was dispatched, or if the upstream said so. Unknown is never
//     turned into a retry of a request that is not idempotent.
package fault

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a failed request may have run.
type Verdict int

// The verdicts. The zero value is the careful one.
const (
	Unknown Verdict = iota
	NotRun
	Ran
)

var verdictNames = [...]string{Unknown: "unknown", NotRun: "notRun", Ran: "ran"}

// String returns the name that callers read in DETAIL.
func (verdict Verdict) String() string { return verdictNames[verdict] }

// Reason names one cause of a refusal or retry; each has a counter.
type Reason string

// The reasons, one for each place that refuses.
const (
	ReasonQueueFull       Reason = "queueFull"
	ReasonShed            Reason = "shedForOlder"
	ReasonDeadline        Reason = "deadline"
	ReasonNoPrimary       Reason = "noPrimary"
	ReasonNoReplica       Reason = "noReplica"
	ReasonNoConfirmation  Reason = "noConfirmation"
	ReasonNoShare         Reason = "noConnectionShare"
	ReasonConnectFailed   Reason = "connectFailed"
	ReasonUpstreamLost    Reason = "upstreamLost"
	ReasonNotAcknowledged Reason = "notAcknowledged"
	ReasonRolledBack      Reason = "rolledBackByFailover"
	ReasonCancelled       Reason = "cancelled"
	ReasonStarting        Reason = "starting"
	ReasonStopping        Reason = "stopping"
	ReasonUnknownDatabase Reason = "unknownDatabase"
	ReasonBadMessage      Reason = "badMessage"
	ReasonTooLarge        Reason = "tooLarge"
	ReasonAuth            Reason = "authentication"
	ReasonUnsupported     Reason = "unsupported"
	ReasonKeyUsed         Reason = "requestKeyUsed"
	ReasonStaleReplica    Reason = "replicaBehind"
	ReasonLeaving         Reason = "leaving"
	ReasonTooManyCallers  Reason = "tooManyCallers"
	ReasonIdle            Reason = "idleInTransaction"
	ReasonRetryBudget     Reason = "retryBudget"
)

// SQLSTATE codes that bramleydoor itself answers with.
const (
	CodeUnknown        = "08007" // transaction_resolution_unknown
	CodeConnection     = "08006" // connection_failure
	CodeUnavailable    = "57P03" // cannot_connect_now
	CodeStopping       = "57P01" // admin_shutdown
	CodeTooMany        = "53300" // too_many_connections
	CodeRolledBack     = "40001" // serialization_failure
	CodeReadOnly       = "25006" // read_only_sql_transaction
	CodeKeyUsed        = "23505" // unique_violation
	CodeProtocol       = "08P01" // protocol_violation
	CodeUnsupported    = "0A000" // feature_not_supported
	CodeInvalidSetting = "22023" // invalid_parameter_value
	CodeAuth           = "28P01" // invalid_password
	CodeNoDatabase     = "3D000" // invalid_catalog_name
)

// Error is a refusal or failure with its verdict.
type Error struct {
	Verdict Verdict
	Code    string
	Reason  Reason
	Message string
	// RetryAfter, if not zero, tells the caller when to come back.
	RetryAfter time.Duration
	Cause      error
}

// Error describes the failure in one line.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (SQLSTATE %s, %s, %s)", e.Message, e.Code, e.Reason, e.Verdict)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Detail is the DETAIL field that callers receive.
func (e *Error) Detail() string {
	detail := "verdict=" + e.Verdict.String() + " reason=" + string(e.Reason)
	if e.RetryAfter > 0 {
		detail += " retryAfterMs=" + fmt.Sprint(e.RetryAfter.Milliseconds())
	}
	return detail
}

// Refuse makes an error for a request of which nothing was dispatched.
func Refuse(code string, reason Reason, message string) *Error {
	return &Error{Verdict: NotRun, Code: code, Reason: reason, Message: message}
}

// Lost makes an error for a request whose outcome can't be known.
func Lost(reason Reason, message string, cause error) *Error {
	return &Error{Verdict: Unknown, Code: CodeUnknown, Reason: reason, Message: message, Cause: cause}
}

// From returns the fault in err's chain; an error of another kind says nothing
// about what ran, so it becomes Unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Lost(ReasonUpstreamLost, "the request failed", err)
}
