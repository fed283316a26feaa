package operator

import (
	"encoding/json"
	"net/http"

	"github.com/chervilladder/chervilladder"
)

// ExplainPath is where a VM explains where a request would go.
const ExplainPath = "/v1/explain"

// The parameters of an explanation, and the values of access.
const (
	paramDatabase = "database"
	paramAccount  = "account"
	paramAccess   = "access"
	accessRead    = "read"
	accessWrite   = "write"
)

// ExplainHandler returns a handler that explains where a request would go, without
// sending it. The parameters are database, account, and access: read or write.
func ExplainHandler(e chervilladder.Explainer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		values := r.URL.Query()
		q := chervilladder.ExplainQuery{
			Database: chervilladder.DatabaseID(values.Get(paramDatabase)),
			Account:  chervilladder.AccountID(values.Get(paramAccount)),
			Access:   chervilladder.AccessRead,
		}
		switch access := values.Get(paramAccess); {
		case q.Database == "":
			http.Error(w, "no database given; add database=NAME", http.StatusBadRequest)
			return
		case access == accessWrite:
			q.Access = chervilladder.AccessWrite
		case access != accessRead && access != "":
			http.Error(w, "access is neither read nor write; give one of them", http.StatusBadRequest)
			return
		}
		data, err := json.Marshal(e.Explain(q))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		writeJSON(w, data)
	})
}
