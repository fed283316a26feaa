package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"net/netip"
	"strings"
)

// Token is what a party that is not on loopback has to present.
type Token string

const bearerPrefix = "Bearer "

// guard answers parties on loopback, and others that present the token.
func (t Token) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case onLoopback(r.RemoteAddr), t.presented(r):
			next.ServeHTTP(w, r)
		case t == "":
			http.Error(w, `only parties on loopback are answered; set "operators-token" to let others in`, http.StatusForbidden)
		default:
			w.Header().Set("WWW-Authenticate", strings.TrimSpace(bearerPrefix))
			http.Error(w, `present the VM's "operators-token" as a bearer token`, http.StatusUnauthorized)
		}
	})
}

func onLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().Unmap().IsLoopback()
}

// presented compares digests, so that the time tells nothing of the token.
func (t Token) presented(r *http.Request) bool {
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || t == "" {
		return false
	}
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(t))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
