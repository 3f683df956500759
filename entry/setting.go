package entry

import (
	"context"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/bramleydoor/bramleydoor/stmt"

	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fault"
)

// The settings of bramleydoor's own, in lower case as PostgreSQL folds names.
const (
	settingPrefix     = "bramley."
	settingSession    = "bramley.session"
	settingStaleness  = "bramley.staleness"
	settingRequestKey = "bramley.requestkey"
	settingOutcome    = "bramley.outcome"
)

// sessionParameter is the ParameterStatus that reports the session token.
const sessionParameter = "bramley.session"

// Bounds of settings.
const (
	maxStaleness        = 24 * time.Hour
	maxKeyBytes         = 200
	maxUpstreamSettings = 16
)

// settings are what a caller has set with SET. The value is copied when a
// transaction begins, so that SET LOCAL ends with it.
type settings struct {
	staleness time.Duration
	key       string
	// isKeyArmed says that the key names the next transaction that writes.
	isKeyArmed bool
}

var readOnlyText = regexp.MustCompile(`(?is)^SET\s+(?:SESSION\s+)?(?:CHARACTERISTICS\s+AS\s+TRANSACTION\s+READ\s+ONLY|default_transaction_read_only\s*(?:=|TO)\s*'?(?:on|true|1)'?)\s*;?\s*$`)

func invalid(message string) error {
	return fault.Refuse(fault.CodeInvalidSetting, fault.ReasonBadMessage, message)
}

// set changes one setting.
func (session *session) set(name, value string, isLocal bool) error {
	if isLocal && session.status != 'T' {
		// As in PostgreSQL, SET LOCAL outside of a transaction has no effect.
		return nil
	}
	target := &session.settings
	switch name {
	case settingStaleness:
		staleness, err := time.ParseDuration(value)
		if value == "" || strings.EqualFold(value, "default") {
			staleness, err = 0, nil
		}
		if err != nil || staleness < 0 || staleness > maxStaleness {
			return invalid("bramley.staleness wants a duration such as '60s', at most 24h")
		}
		target.staleness = staleness
	case settingRequestKey:
		if len(value) > maxKeyBytes || strings.ContainsRune(value, 0) {
			return invalid("bramley.requestKey is too long or has a zero byte")
		}
		target.key = value
		target.isKeyArmed = value != ""
	case settingSession:
		session.takeToken(value)
	default:
		return invalid("unknown setting " + name)
	}
	if !isLocal {
		session.outer = session.settings
	}
	return nil
}

// takeToken raises the floor to a token's position. A token that can't be
// believed leaves the session without a floor, so that one is confirmed.
func (session *session) takeToken(token string) {
	position, err := session.server.Sealer.Open(session.database, token)
	if err != nil {
		session.server.Stats.TokensIgnored.Add(1)
		session.server.Events.Write(event.TokenIgnored, event.Fields{"error": err.Error(), "database": session.database})
		return
	}
	session.raiseFloor(position)
	session.hasFloor = true
}

// run carries out a command and returns the text that SHOW answers with.
func (session *session) runCommand(ctx context.Context, command *stmt.Command) (string, error) {
	switch command.Verb {
	case "SET":
		return "", session.set(command.Name, command.Value, command.IsLocal)
	case "RESET":
		return "", session.set(command.Name, "", false)
	}
	switch command.Name {
	case settingStaleness:
		return session.settings.staleness.String(), nil
	case settingRequestKey:
		return session.settings.key, nil
	case settingSession:
		return session.server.Sealer.Seal(session.database, session.floor), nil
	case settingOutcome:
		return session.outcomeOf(ctx, session.settings.key)
	}
	return "", invalid("unknown setting " + command.Name)
}

// upstreamSetting is a SET that is repeated on each connection.
type upstreamSetting struct{ name, text string }

var settingName = regexp.MustCompile(`(?is)^(?:SET|RESET)\s+(?:SESSION\s+)?("[^"]+"|[\w.]+)`)

// nameOf is the name of the setting that a SET or RESET is about.
func nameOf(text string) string {
	match := settingName.FindStringSubmatch(stmt.SkipBlanks(text))
	if match == nil {
		return ""
	}
	return strings.ToLower(strings.Trim(match[1], `"`))
}

// addUpstreamSetting remembers a SET. A later one of the same name replaces it.
func (session *session) addUpstreamSetting(text string) error {
	name := nameOf(text)
	session.dropUpstreamSetting(name)
	if len(session.upstreamSettings) >= maxUpstreamSettings {
		return fault.Refuse(fault.CodeUnsupported, fault.ReasonTooLarge, "too many session settings")
	}
	if readOnlyText.MatchString(stmt.SkipBlanks(text)) {
		session.isReadOnly = true
	}
	text = strings.TrimRight(strings.TrimSpace(text), ";")
	session.upstreamSettings = append(session.upstreamSettings, upstreamSetting{name: name, text: text})
	return nil
}

func (session *session) dropUpstreamSetting(name string) {
	session.upstreamSettings = slices.DeleteFunc(session.upstreamSettings, func(kept upstreamSetting) bool {
		return kept.name == name
	})
	if name == "default_transaction_read_only" || name == "characteristics" {
		session.isReadOnly = false
	}
}

// forgetSettings carries out RESET and DISCARD for what the session remembers.
// It returns the command tag.
func (session *session) forgetSettings(req *request) string {
	name := nameOf(req.text)
	if req.kind == stmt.Reset && name != "all" {
		session.dropUpstreamSetting(name)
		return "RESET"
	}
	session.upstreamSettings, session.isReadOnly = nil, false
	session.settings, session.outer = settings{}, settings{}
	if req.kind == stmt.Reset {
		return "RESET"
	}
	session.statements = make(map[string]*statement)
	return "DISCARD ALL"
}

// settingsText is the query that repeats the session's settings.
func (session *session) settingsText() string {
	var query strings.Builder
	for _, kept := range session.upstreamSettings {
		query.WriteString(kept.text)
		query.WriteByte(';')
	}
	return query.String()
}
