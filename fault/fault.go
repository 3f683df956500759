// Package fault defines the error with which a failed request is answered, and its
// verdict: whether the request may have run.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  12. Every failure states whether the request may have run. NotRun is used only
//     if nothing was dispatched or if the database reported that the request did
//     not run. A request with the verdict Unknown is never retried unless it is
//     idempotent.
package fault

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict states whether a failed request may have run.
type Verdict int

// The verdicts. The zero value, Unknown, promises nothing.
const (
	Unknown Verdict = iota
	NotRun
	Ran
)

var verdictNames = [...]string{Unknown: "unknown", NotRun: "notRun", Ran: "ran"}

// String returns the name of the verdict in the DETAIL field.
func (verdict Verdict) String() string { return verdictNames[verdict] }

// Reason is the cause of a refusal or retry. Each reason has its own counter.
type Reason string

// The reasons. Each place that refuses requests has its own.
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

// SQLSTATE codes of errors that bramleydoor itself raises. Each comment gives the
// condition name of the code in PostgreSQL.
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
	// Code is the SQLSTATE code.
	Code    string
	Reason  Reason
	Message string
	// RetryAfter, if not zero, is the delay after which the caller may retry.
	RetryAfter time.Duration
	Cause      error
}

// Error describes the failure in one line.
func (failure *Error) Error() string {
	text := fmt.Sprintf("%s (SQLSTATE %s, %s, %s)", failure.Message, failure.Code, failure.Reason, failure.Verdict)
	if failure.Cause != nil {
		text += ": " + failure.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (failure *Error) Unwrap() error { return failure.Cause }

// Detail returns the text of the DETAIL field that callers receive.
func (failure *Error) Detail() string {
	detail := "verdict=" + failure.Verdict.String() + " reason=" + string(failure.Reason)
	if failure.RetryAfter > 0 {
		detail += " retryAfterMs=" + fmt.Sprint(failure.RetryAfter.Milliseconds())
	}
	return detail
}

// Refuse returns an error with the verdict NotRun, for a request of which nothing was
// dispatched.
func Refuse(code string, reason Reason, message string) *Error {
	return &Error{Verdict: NotRun, Code: code, Reason: reason, Message: message}
}

// Lost returns an error with the verdict Unknown, for a request whose outcome can't be
// determined.
func Lost(reason Reason, message string, cause error) *Error {
	return &Error{Verdict: Unknown, Code: CodeUnknown, Reason: reason, Message: message, Cause: cause}
}

// From returns the Error in err's chain. Any other error doesn't show whether the
// request ran, so it becomes an Error with the verdict Unknown.
func From(err error) *Error {
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	return Lost(ReasonUpstreamLost, "the request failed", err)
}
