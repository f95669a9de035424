package config

import (
	"encoding/base64"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/jsonc"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/token"
)

// minOperatorKeyLength is the minimum length of the operator key in bytes.
const minOperatorKeyLength = 16

// Entry holds the local settings of one entry VM.
type Entry struct {
	VM       model.VMID
	Domain   model.Domain
	Caller   netip.AddrPort
	Peer     netip.AddrPort
	Operator netip.AddrPort
	Platform netip.AddrPort
	// FleetKeys encrypt session tokens and transaction identifiers: the first key seals new ones, and every key can open them.
	FleetKeys [][]byte
	// OperatorKey authenticates operators; it is separate from callers' keys.
	OperatorKey string
	LogLevel    string
	TLS         TLS
}

// TLS holds the paths of the certificate files; without them the VM uses plain HTTP.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Enabled reports whether certificates are set.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Read reads the settings from a file; if it has mistakes, the error is a *jsonc.Findings.
func Read(file string) (Entry, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, errors.WithHint(err, "give the path of the VM's settings with --config")
	}
	return Parse(file, text)
}

// Parse reads the settings from a text; if it has mistakes, the error is a *jsonc.Findings.
func Parse(file string, text []byte) (Entry, error) {
	findings := &jsonc.Findings{}
	entry := Entry{LogLevel: "info"}
	if root := jsonc.Parse(file, text, findings); root != nil {
		entry.read(root)
		root.ReportUnknown()
	}
	return entry, findings.Err()
}

func (e *Entry) read(root *jsonc.Object) {
	if vm := root.Require("Vm", "name this VM as the platform lists it"); vm != nil {
		e.VM = model.VMID(vm.Text())
	}
	if domain := root.Require("Domain", "name the failure domain of this VM"); domain != nil {
		e.Domain = model.Domain(domain.Text())
	}
	e.Caller = readAddress(root, "CallerListen", "give the IP number and port for callers")
	e.Peer = readAddress(root, "PeerListen", "give the IP number and port for other entry VMs")
	e.Operator = readAddress(root, "OperatorListen", "give the IP number and port for operators")
	e.Platform = readAddress(root, "Platform", "give the IP number and port of the platform")
	e.readSecrets(root)
	if level := root.Get("LogLevel"); level != nil {
		e.LogLevel = level.Choice("debug", "info", "warn", "error")
	}
	if tls := root.Object("Tls"); tls != nil {
		e.TLS = readTLS(tls)
	}
}

func (e *Entry) readSecrets(root *jsonc.Object) {
	if keys := root.Object("FleetKeys"); keys != nil {
		for _, name := range keys.Names() {
			e.readFleetKey(keys.Get(name))
		}
	}
	if len(e.FleetKeys) == 0 {
		root.Report("FleetKeys is missing", `list at least one key as base64 of 32 random bytes, such as "FleetKeys": {"2026": "…"}; the first one seals`)
	}
	operator := root.Require("OperatorKey", "choose a long random key for operators")
	if operator == nil {
		return
	}
	e.OperatorKey = operator.Text()
	if e.OperatorKey != "" && len(e.OperatorKey) < minOperatorKeyLength {
		operator.Report("the operator key is too short", "use at least 16 characters")
	}
}

func (e *Entry) readFleetKey(value *jsonc.Value) {
	key, err := base64.StdEncoding.DecodeString(value.Text())
	if err != nil || len(key) != token.KeySize {
		value.Report("the fleet key is not base64 of 32 bytes", "make one with: head -c 32 /dev/urandom | base64")
		return
	}
	e.FleetKeys = append(e.FleetKeys, key)
}

func readAddress(root *jsonc.Object, name, advice string) netip.AddrPort {
	if value := root.Require(name, advice); value != nil {
		return value.AddrPort()
	}
	return netip.AddrPort{}
}

func readTLS(object *jsonc.Object) TLS {
	read := func(name, advice string) string {
		if value := object.Require(name, advice); value != nil {
			return value.Text()
		}
		return ""
	}
	tls := TLS{
		Certificate: read("Certificate", "give the path of the PEM certificate"),
		Key:         read("Key", "give the path of the PEM private key"),
		Authority:   read("Authority", "give the path of the PEM certificate that signs all entry VMs"),
	}
	object.ReportUnknown()
	return tls
}
