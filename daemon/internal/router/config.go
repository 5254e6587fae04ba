package router

import (
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/platform"
	"rhubarbstall.example/daemon/internal/settingsync"
	"rhubarbstall.example/daemon/internal/vmlist"
)

// Config holds the dependencies of a router. Every field is required.
type Config struct {
	// Self gives the ID, zone and incarnation of this entry VM.
	Self     membership.Member
	View     membership.View
	VMs      vmlist.Source
	Settings settingsync.Provider
	Store    platform.Store
	Peers    *peer.Client
	// Server gets the RPC methods of the router. It must not be serving yet.
	Server *peer.Server
	Logger *zap.Logger
	Meter  metric.Meter
	Tracer trace.Tracer
}
