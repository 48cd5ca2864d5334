package httpapi

import (
	"net/http"

	"github.com/mangoknot/mangoknot/adapter/jsonhttp"
	"github.com/mangoknot/mangoknot/core/domain"
)

// errorBody is the JSON body of an error response. OpenAI clients read
// error.message, error.type and error.code.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// statusByReason maps refusal reasons to HTTP status codes. Reasons that are not
// listed are temporary conditions of the server and map to 503.
var statusByReason = map[domain.Reason]int{
	domain.ReasonKeyMissing:      http.StatusUnauthorized,
	domain.ReasonKeyUnknown:      http.StatusUnauthorized,
	domain.ReasonKeyWithdrawn:    http.StatusUnauthorized,
	domain.ReasonBadRequest:      http.StatusBadRequest,
	domain.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	domain.ReasonModelUnknown:    http.StatusNotFound,
	domain.ReasonModelNotAllowed: http.StatusForbidden,
	domain.ReasonRouteUnknown:    http.StatusNotFound,
	domain.ReasonProgramUnknown:  http.StatusNotFound,
	domain.ReasonProgramEnded:    http.StatusConflict,
	domain.ReasonRateExceeded:    http.StatusTooManyRequests,
	domain.ReasonConcurrency:     http.StatusTooManyRequests,
	domain.ReasonSpendRate:       http.StatusTooManyRequests,
	domain.ReasonProgramBudget:   http.StatusPaymentRequired,
	domain.ReasonAccountBudget:   http.StatusPaymentRequired,
	domain.ReasonTurnLimit:       http.StatusConflict,
	domain.ReasonTimeLimit:       http.StatusConflict,
	domain.ReasonRepeatedCall:    http.StatusConflict,
	domain.ReasonRequestCrashes:  http.StatusUnprocessableEntity,
	domain.ReasonInProgress:      http.StatusConflict,
	domain.ReasonOutcomeUnknown:  http.StatusConflict,
	domain.ReasonKeyReused:       http.StatusUnprocessableEntity,
	domain.ReasonTargetFailed:    http.StatusBadGateway,
	domain.ReasonToolTimeout:     http.StatusGatewayTimeout,
	domain.ReasonConflict:        http.StatusConflict,
}

func statusOf(reason domain.Reason) int {
	if status, ok := statusByReason[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

func errorBodyOf(r *domain.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Message: r.Remedy,
		Type:    "mangoknot_refusal",
		Code:    string(r.Reason),
		Outcome: r.Outcome.String(),
	}}
}

// outcomeHeader carries the outcome for clients that do not read the body.
const outcomeHeader = "Mangoknot-Outcome"

func writeRefusal(w http.ResponseWriter, r *domain.Refusal) {
	header := w.Header()
	header.Set(outcomeHeader, r.Outcome.String())
	jsonhttp.SetRetryAfter(header, r.RetryAfter)
	// OpenAI clients retry 409, 429 and 5xx automatically. Without a retry-after
	// time a retry cannot succeed and only adds load.
	if r.RetryAfter == 0 {
		header.Set("X-Should-Retry", "false")
	}
	jsonhttp.Write(w, statusOf(r.Reason), errorBodyOf(r))
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}
