package configuration

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

func TestConfiguration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configuration")
}

// Services and limits for the bodies of commands.
const (
	serviceA   = `{"name":"a","healthPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"preconditions":false}`
	serviceB   = `{"name":"b","preconditions":true,"unknown":{"deep":[1,2.50,"ü"]}}`
	someLimits = `{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}`
)

// aRoute returns the JSON of a route.
func aRoute(name, host, prefix, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":"non_idempotent","timeoutMs":3000,`+
		`"targetLatencyMs":800,"priority":1,"service":%q,"maxAttempts":3,"extension":4.0}`, name, host, prefix, service)
}

// configurationOf returns a complete configuration with the routes, both services and the limits.
func configurationOf(version int, routes ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s,%s],"limits":%s}`,
		version, strings.Join(routes, ","), serviceA, serviceB, someLimits)
}

var (
	routeOne = aRoute("r-1", "one.example", "/one/", "a")
	routeTwo = aRoute("r-2", "one.example", "/two/", "b")
)

func replace(base uint64, body string) Command {
	return Command{Kind: protocol.ConfigurationReplace, Base: base, Body: []byte(body)}
}

func update(base uint64, body string) Command {
	return Command{Kind: protocol.ConfigurationUpdate, Base: base, Body: []byte(body)}
}

// stateWith returns a state that has accepted the commands, one after the other.
func stateWith(commands ...Command) *State {
	GinkgoHelper()
	state := NewState()
	for i, command := range commands {
		result := state.Execute(command)
		Expect(result.Kind).To(Equal(failure.None), "command %d: %s", i, result.Message)
	}
	return state
}

// standardState returns a state with version 5, which has two routes and two services.
func standardState() *State {
	GinkgoHelper()
	return stateWith(replace(0, configurationOf(5, routeOne, routeTwo)))
}
