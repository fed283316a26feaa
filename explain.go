package chervilladder

// ExplainQuery describes a request whose way is to be explained. It is not sent.
type ExplainQuery struct {
	Database DatabaseID
	// Account is the client account of the caller; empty if the configuration names
	// none.
	Account AccountID
	Access  Access
}

// Explainer explains where requests would go.
type Explainer interface {
	// Explain returns where a request would go now. It sends nothing.
	Explain(q ExplainQuery) Explanation
}

// Decision is what a VM would do with a request.
type Decision string

// The decisions.
const (
	// DecisionRun runs the request at a member of the service.
	DecisionRun Decision = "run"
	// DecisionForward forwards it to another VM.
	DecisionForward Decision = "forward"
	// DecisionRefuse refuses it, or denies its caller.
	DecisionRefuse Decision = "refuse"
)

// Explanation is where a request would go at a VM, and why. It is the answer to an
// ExplainQuery, for operators; times are in milliseconds.
type Explanation struct {
	VM       VMID       `json:"vm"`
	Database DatabaseID `json:"database"`
	Service  ServiceID  `json:"service,omitempty"`
	Account  AccountID  `json:"account,omitempty"`
	Priority string     `json:"priority,omitempty"`
	Decision Decision   `json:"decision"`
	// Reason is why the request would be refused.
	Reason Reason `json:"reason,omitempty"`
	// Left is why it would leave the VM's data centre; empty if it stays.
	Left string `json:"left,omitempty"`
	// WaitMS is the expected wait for a slot at this VM, if the request would run here.
	WaitMS float64 `json:"wait-ms"`
	// QuotaLeft is how many operations of the account this VM may admit without asking a
	// lender; nil for an account without a quota.
	QuotaLeft *int64            `json:"quota-left,omitempty"`
	Hosts     []ExplainedHost   `json:"hosts,omitempty"`
	Members   []ExplainedMember `json:"members,omitempty"`
}

// ExplainedHost is a VM to which a request may be forwarded.
type ExplainedHost struct {
	VM     VMID `json:"vm"`
	Chosen bool `json:"chosen"`
	// Standing says what is known for or against the host, and CostMS is how much time
	// work is expected to lose there.
	Standing string  `json:"standing"`
	CostMS   float64 `json:"cost-ms"`
}

// ExplainedMember is a member of the service as a place for a request.
type ExplainedMember struct {
	Upstream   UpstreamID   `json:"upstream"`
	DataCentre DataCentreID `json:"data-centre"`
	Primary    bool         `json:"primary"`
	Usable     bool         `json:"usable"`
	// Against is what rules the member out; empty if it is usable.
	Against string `json:"against,omitempty"`
	// AgeMS is the age of the member's last status.
	AgeMS float64 `json:"age-ms"`
}
