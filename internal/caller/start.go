package caller

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
)

// The codes sent in place of a protocol version in a start-up message, and the
// major version that is supported.
const (
	codeCancelRequest = 80877102
	codeSSLRequest    = 80877103
	codeGSSRequest    = 80877104
	protocolMajor     = 3
)

// maxStartupBytes bounds a start-up message.
const maxStartupBytes = 10 << 10

// protocolOptionPrefix is the prefix of start-up parameters that request
// protocol options.
const protocolOptionPrefix = "_pq_."

// The proxy's own start-up parameters.
const (
	parameterSession = "chervilladder.session"
	parameterClass   = "chervilladder.class"
)

// start handles the start-up phase up to the first ReadyForQuery. A cancel
// request ends it with errTerminated.
func (s *session) start() error {
	_ = s.conn.SetDeadline(time.Now().Add(s.server.StartTimeout))
	for {
		code, body, err := s.readStartup()
		if err != nil {
			return err
		}
		switch {
		case code == codeSSLRequest:
			if err := s.answerTLSRequest(); err != nil {
				return err
			}
		case code == codeGSSRequest:
			if err := s.decline(); err != nil {
				return err
			}
		case code == codeCancelRequest:
			s.handleCancelRequest(body)
			return errTerminated
		case code>>16 == protocolMajor:
			return s.startSession(code&0xffff, body)
		default:
			return &proxyError{
				code:    codeProtocol,
				message: fmt.Sprintf("protocol version %d.%d is not supported, use 3.0", code>>16, code&0xffff),
			}
		}
	}
}

// readStartup reads a message that has no type byte.
func (s *session) readStartup() (uint32, []byte, error) {
	var header [8]byte
	if _, err := io.ReadFull(s.conn, header[:]); err != nil {
		return 0, nil, errTerminated
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size < 8 || size > maxStartupBytes {
		return 0, nil, &proxyError{code: codeProtocol, message: fmt.Sprintf("start-up message of %d bytes", size)}
	}
	body := make([]byte, size-8)
	if _, err := io.ReadFull(s.conn, body); err != nil {
		return 0, nil, errTerminated
	}
	return binary.BigEndian.Uint32(header[4:]), body, nil
}

// handleCancelRequest cancels the statement of another session. The session may
// be at another VM, since the caller's load balancer chooses a VM for each
// connection, so the request goes to the peers too.
func (s *session) handleCancelRequest(body []byte) {
	k := chervilladder.CancelKey{}
	if len(body) != 4+len(k.Secret) {
		return
	}
	k.Process = binary.BigEndian.Uint32(body)
	copy(k.Secret[:], body[4:])
	s.server.keys.cancel(k)
	if s.server.Peers != nil {
		ctx, cancel := context.WithTimeout(context.Background(), s.server.StartTimeout)
		defer cancel()
		s.server.Peers.Cancel(ctx, k)
	}
}

// startSession applies a start-up message and answers it. The user isn't
// authenticated.
func (s *session) startSession(minor uint32, body []byte) error {
	parameters, err := parseParameters(body)
	if err != nil {
		return err
	}
	if err := s.applyParameters(parameters); err != nil {
		return err
	}
	s.key = s.server.keys.add(s)
	out, err := s.startupResponse(negotiation(minor, parameters))
	if err != nil {
		return err
	}
	if _, err := s.conn.Write(out); err != nil {
		s.server.keys.remove(s.key)
		return errTerminated
	}
	return s.conn.SetDeadline(time.Time{})
}

// parameter is a name and value of a start-up message.
type parameter struct{ name, value string }

// parseParameters parses pairs of NUL-terminated strings up to an empty name.
func parseParameters(body []byte) ([]parameter, error) {
	var list []parameter
	for {
		name, rest, ok := bytes.Cut(body, []byte{0})
		if ok && len(name) == 0 && len(rest) == 0 && len(list) > 0 {
			return list, nil
		}
		value, rest, hasValue := bytes.Cut(rest, []byte{0})
		if !ok || !hasValue || len(name) == 0 {
			return nil, &proxyError{code: codeProtocol, message: "malformed start-up message"}
		}
		list = append(list, parameter{string(name), string(value)})
		body = rest
	}
}

// negotiation returns the answer to a start-up message that requests a newer
// minor version or protocol options, or nil if it requests neither.
func negotiation(minor uint32, parameters []parameter) *pgproto3.NegotiateProtocolVersion {
	var options []string
	for _, p := range parameters {
		if strings.HasPrefix(p.name, protocolOptionPrefix) {
			options = append(options, p.name)
		}
	}
	if minor == 0 && len(options) == 0 {
		return nil
	}
	return &pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: protocolMajor << 16,
		UnrecognizedOptions: options,
	}
}

// applyParameters validates the parameters and stores them in the session.
func (s *session) applyParameters(parameters []parameter) error {
	for _, p := range parameters {
		if err := s.applyParameter(p); err != nil {
			return err
		}
	}
	if s.user == "" {
		return &proxyError{code: codeNoUser, message: "start-up message names no user"}
	}
	if s.database == "" {
		s.database = chervilladder.DatabaseID(s.user)
	}
	if s.consistencyID == "" {
		s.consistencyID = chervilladder.SessionID("user:" + s.user)
	}
	return s.checkDatabase()
}

func (s *session) applyParameter(p parameter) error {
	switch p.name {
	case "user":
		s.user = p.value
	case "database":
		s.database = chervilladder.DatabaseID(p.value)
	case "replication":
		if p.value != "" && p.value != "false" && p.value != "off" && p.value != "0" {
			return &proxyError{code: codeNotSupported, message: "replication connections are not supported"}
		}
	case "options":
		return s.applyOptions(p.value)
	default:
		return s.applySetting(p)
	}
	return nil
}

// applySetting stores a parameter that may come as a start-up parameter or
// within the start-up options.
func (s *session) applySetting(p parameter) error {
	switch p.name {
	case parameterSession:
		s.consistencyID = chervilladder.SessionID("name:" + p.value)
	case parameterClass:
		s.startClass = p.value
	default:
		return s.settings.applyStartup(p.name, p.value)
	}
	return nil
}

// applyOptions parses start-up options of the forms "-c name=value",
// "-cname=value", "--name=value" and "name=value".
func (s *session) applyOptions(options string) error {
	words := strings.Fields(options)
	for i := 0; i < len(words); i++ {
		pair, ok := strings.CutPrefix(words[i], "-c")
		if ok && pair == "" && i+1 < len(words) {
			i++
			pair = words[i]
		}
		name, value, found := strings.Cut(strings.TrimPrefix(pair, "--"), "=")
		if !found {
			return &proxyError{code: codeBadSetting, message: fmt.Sprintf("start-up option %q is not of the form -c name=value", words[i])}
		}
		if err := s.applySetting(parameter{name, value}); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) checkDatabase() error {
	catalogue := s.server.Board.Catalogue.Load()
	if catalogue == nil {
		return &proxyError{code: codeUnavailable, message: "no configuration is known yet, try again"}
	}
	if _, ok := catalogue.Databases[s.database]; !ok {
		return &proxyError{code: codeUnknownDatabase, message: fmt.Sprintf("database %q does not exist", s.database)}
	}
	return nil
}

// startupResponse encodes the response to a start-up message.
func (s *session) startupResponse(n *pgproto3.NegotiateProtocolVersion) ([]byte, error) {
	var messages []pgproto3.BackendMessage
	if n != nil {
		messages = append(messages, n)
	}
	messages = append(messages, &pgproto3.AuthenticationOk{})
	for _, p := range s.settings.reported() {
		messages = append(messages, &pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	messages = append(messages,
		&pgproto3.BackendKeyData{ProcessID: s.key.Process, SecretKey: s.key.Secret[:]},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	)
	var out []byte
	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			return nil, fmt.Errorf("encode start-up response: %w", err)
		}
	}
	return out, nil
}
