#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/dispatch/crash_suspects.hpp"
#include "tarragonspar/routing/digest.hpp"
#include "tarragonspar/routing/server_model.hpp"
#include "tarragonspar/types/outcome.hpp"
#include "tarragonspar/types/work.hpp"

namespace tarragonspar::dispatch {

/// A request arrived at the owner.
struct arrived {
    work_item work;
};

/// The holder of the dispatch right cancelled the request; it must not be dispatched.
struct withdrawn {
    request_id id;
};

/// A dispatch failed before its first byte was written; the request did not run.
struct dispatch_failed {
    request_id id;
};

/// The holder of the dispatch right refused the dispatch; the request did not run here.
struct grant_refused {
    request_id id;
};

/// The server produced the first token.
struct first_token {
    request_id id;
    std::optional<token_count> cached; ///< prompt tokens that were in the server's cache
};

/// The server produced more tokens.
struct progressed {
    request_id id;
    token_count generated; ///< since the first token
};

/// The exchange with the server ended.
struct ended {
    request_id id;
    bool complete{false};    ///< the complete answer was received
    bool server_fault{true}; ///< if not complete: whether the server caused the failure
    token_count generated;
    bool server_lost{false}; ///< if not complete: the server ended the connection, as a crash does
    server_fate fate{server_fate::unknown}; ///< if the server was lost: what became of it
};

/// Another instance sent its evidence about prompt parts.
struct suspicions_received {
    suspicion_report report;
};

/// An owned server sent a load report.
struct reported {
    server_id server;
    routing::load_report report;
};

/// The prefix cache of an owned server changed.
struct cache_changed {
    server_id server;
    std::uint64_t sequence{};
    std::vector<block_hash> stored;
    std::vector<block_hash> evicted;
};

/// The set or the descriptions of the servers that this instance owns changed.
struct ownership_changed {
    std::vector<config::server> owned;
    std::vector<config::workspace_limit> limits;
};

/// A peer sent its digest.
struct peer_reported {
    instance_id peer;
    std::vector<routing::model_digest> models;
};

/// A peer is lost or shuts down; no requests are transferred to it.
struct peer_gone {
    instance_id peer;
};

/// The instance shuts down: queued requests are transferred to peers.
struct drain_requested {};

/// A dispatcher reports that it runs a request which this owner did not dispatch: this owner was
/// lost in between, or another one dispatched the request.
struct adopted {
    work_item work;
    server_id server;
    bool just_started{false}; ///< observed from its start, so speeds are estimated from it
};

/// A server is draining; it gets no further requests.
struct server_draining {
    server_id server;
};

/// A server asked one dispatcher to send no requests until a point in time.
struct server_backoff {
    server_id server;
    instance_id dispatcher;
    time_point until{};
};

/// Periodic tick: deadlines are checked.
struct ticked {};

using event = std::variant<arrived, withdrawn, dispatch_failed, grant_refused, first_token,
                           progressed, ended, reported, cache_changed, ownership_changed,
                           peer_reported, peer_gone, drain_requested, adopted, server_draining,
                           server_backoff, suspicions_received, ticked>;

/// Dispatch a request; its slot is reserved until `ended`, `dispatch_failed` or `grant_refused`.
struct start_dispatch {
    request_id id;
    server_id server;
};

/// Notify the holder of the dispatch right that the request was not run here.
struct refuse {
    request_id id;
    reason why{reason::overloaded};
    duration retry_after{};
};

/// Transfer a queued request to a peer that can still serve it.
struct transfer {
    request_id id;
    instance_id peer;
};

using effect = std::variant<start_dispatch, refuse, transfer>;

} // namespace tarragonspar::dispatch
