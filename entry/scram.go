package entry

import (
	"crypto/rand"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/bramleydoor/bramleydoor/fault"
)

// scramMechanism is the only SASL mechanism that is offered.
const scramMechanism = "SCRAM-SHA-256"

// scramIterations is the minimum that RFC 7677 recommends.
const scramIterations = 4096

const saltBytes = 16

// Users maps user names to their stored credentials.
type Users map[string]scram.StoredCredentials

// NewUsers derives the stored credentials from a map of user names to passwords.
// The salts are random. It fails if a name or password is not valid under SASLprep.
func NewUsers(passwords map[string]string) (Users, error) {
	users := make(Users)
	for name, password := range passwords {
		client, err := scram.SHA256.NewClient(name, password, "")
		if err != nil {
			return nil, errors.Wrapf(err, "password of user %q", name)
		}
		salt, err := newSalt()
		if err != nil {
			return nil, err
		}
		users[name], err = client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: scramIterations})
		if err != nil {
			return nil, errors.Wrapf(err, "password of user %q", name)
		}
	}
	return users, nil
}

var errNoUser = errors.New("no such user")

// authenticate runs a SCRAM exchange with the caller, unless the server has no users.
func (session *session) authenticate() error {
	users := session.server.Users
	if len(users) == 0 {
		return nil
	}
	refusal := fault.Refuse(fault.CodeAuth, fault.ReasonAuth, "wrong user or password")
	// The user name of the startup message is authoritative; PostgreSQL drivers
	// leave the one in the SCRAM message empty.
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		if stored, ok := users[session.user]; ok {
			return stored, nil
		}
		return scram.StoredCredentials{}, errNoUser
	})
	if err != nil {
		return err
	}
	conversation := server.NewConversation()
	session.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	first, err := session.receiveSASL(pgproto3.AuthTypeSASL)
	if err != nil {
		return refusal
	}
	reply, err := conversation.Step(first)
	if err != nil {
		return refusal
	}
	session.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)})
	last, err := session.receiveSASL(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return refusal
	}
	reply, err = conversation.Step(last)
	if err != nil || !conversation.Valid() {
		return refusal
	}
	session.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
	return nil
}

// newSalt returns random bytes, as the string that the SCRAM library expects.
func newSalt() (string, error) {
	salt := make([]byte, saltBytes)
	_, err := rand.Read(salt)
	return string(salt), err
}

// receiveSASL sends the buffered messages and returns the data of the caller's SASL
// response.
func (session *session) receiveSASL(authType uint32) (string, error) {
	if err := session.backend.Flush(); err != nil {
		return "", err
	}
	if err := session.backend.SetAuthType(authType); err != nil {
		return "", err
	}
	message, err := session.backend.Receive()
	if err != nil {
		return "", err
	}
	switch message := message.(type) {
	case *pgproto3.SASLInitialResponse:
		return string(message.Data), nil
	case *pgproto3.SASLResponse:
		return string(message.Data), nil
	}
	return "", errors.Newf("unexpected message %T during SASL authentication", message)
}
