package caller

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
)

// The codes that take the place of a protocol version in a start-up message.
const (
	codeCancelRequest = 80877102
	codeSSLRequest    = 80877103
	codeGSSRequest    = 80877104
	protocolMajor     = 3
)

// maxStartupBytes bounds a start-up message.
const maxStartupBytes = 10 << 10

// The start-up parameters of the proxy itself.
const (
	parameterSession = "chervilladder.session"
	parameterClass   = "chervilladder.class"
)

// start signs the caller in. A cancel request ends it with errTerminated.
func (s *session) start() error {
	_ = s.conn.SetDeadline(time.Now().Add(s.server.StartTimeout))
	for {
		code, body, err := s.readStartup()
		if err != nil {
			return err
		}
		switch {
		case code == codeSSLRequest || code == codeGSSRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return errTerminated
			}
		case code == codeCancelRequest:
			s.cancelOther(body)
			return errTerminated
		case code>>16 == protocolMajor:
			return s.signIn(body)
		default:
			return &protocolError{
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
		return 0, nil, &protocolError{code: codeProtocol, message: fmt.Sprintf("start-up message of %d bytes", size)}
	}
	body := make([]byte, size-8)
	if _, err := io.ReadFull(s.conn, body); err != nil {
		return 0, nil, errTerminated
	}
	return binary.BigEndian.Uint32(header[4:]), body, nil
}

func (s *session) cancelOther(body []byte) {
	if len(body) < 4 {
		return
	}
	s.server.keys.cancel(binary.BigEndian.Uint32(body), body[4:])
}

func (s *session) signIn(body []byte) error {
	parameters, err := parseParameters(body)
	if err != nil {
		return err
	}
	if err := s.take(parameters); err != nil {
		return err
	}
	s.key = s.server.keys.add(s)
	out, err := s.greeting()
	if err != nil {
		return err
	}
	if _, err := s.conn.Write(out); err != nil {
		s.server.keys.remove(s.key)
		return errTerminated
	}
	return s.conn.SetDeadline(time.Time{})
}

// parameter is one pair of a start-up message.
type parameter struct{ name, value string }

func parseParameters(body []byte) ([]parameter, error) {
	fields := strings.Split(string(body), "\x00")
	var list []parameter
	for i := 0; i+1 < len(fields) && fields[i] != ""; i += 2 {
		list = append(list, parameter{fields[i], fields[i+1]})
	}
	if len(list) == 0 {
		return nil, &protocolError{code: codeProtocol, message: "start-up message without parameters"}
	}
	return list, nil
}

// take checks the parameters and keeps what they say.
func (s *session) take(parameters []parameter) error {
	var database string
	for _, p := range parameters {
		switch p.name {
		case "user":
			s.user = p.value
		case "database":
			database = p.value
		case parameterSession:
			s.id = chervilladder.SessionID("name:" + p.value)
		case parameterClass:
			s.startClass = p.value
		case "replication":
			if p.value != "" && p.value != "false" && p.value != "off" && p.value != "0" {
				return &protocolError{code: codeNotSupported, message: "replication connections are not supported"}
			}
		case "options":
			if err := s.takeOptions(p.value); err != nil {
				return err
			}
		default:
			if err := s.settings.start(p.name, p.value); err != nil {
				return err
			}
		}
	}
	if s.user == "" {
		return &protocolError{code: "28000", message: "start-up message names no user"}
	}
	if database == "" {
		database = s.user
	}
	if s.id == "" {
		s.id = chervilladder.SessionID("user:" + s.user)
	}
	return s.setDatabase(chervilladder.DatabaseID(database))
}

// takeOptions reads parameters of the form "-c name=value".
func (s *session) takeOptions(options string) error {
	words := strings.Fields(options)
	for i := 0; i < len(words); i++ {
		pair, ok := strings.CutPrefix(words[i], "-c")
		if ok && pair == "" && i+1 < len(words) {
			i++
			pair = words[i]
		}
		name, value, found := strings.Cut(strings.TrimPrefix(pair, "--"), "=")
		if !found {
			return &protocolError{code: codeBadSetting, message: fmt.Sprintf("start-up option %q is not of the form -c name=value", words[i])}
		}
		if err := s.take([]parameter{{"user", s.user}, {name, value}}); err != nil && name != parameterSession && name != parameterClass {
			return err
		}
	}
	return nil
}

func (s *session) setDatabase(id chervilladder.DatabaseID) error {
	s.database = id
	catalogue := s.server.Board.Catalogue.Load()
	if catalogue == nil {
		return &protocolError{code: codeUnavailable, message: "no configuration is known yet, try again"}
	}
	if _, ok := catalogue.Databases[id]; !ok {
		return &protocolError{code: codeUnknownDatabase, message: fmt.Sprintf("database %q does not exist", id)}
	}
	return nil
}

// greeting encodes the answer to a start-up message.
func (s *session) greeting() ([]byte, error) {
	messages := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	for _, p := range s.settings.reported() {
		messages = append(messages, &pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	messages = append(messages,
		&pgproto3.BackendKeyData{ProcessID: s.key.process, SecretKey: s.key.secret[:]},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	)
	var out []byte
	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			return nil, fmt.Errorf("encode greeting: %w", err)
		}
	}
	return out, nil
}
