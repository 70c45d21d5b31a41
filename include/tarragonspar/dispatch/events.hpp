#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/routing/digest.hpp"
#include "tarragonspar/routing/server_model.hpp"
#include "tarragonspar/types/outcome.hpp"
#include "tarragonspar/types/work.hpp"

namespace tarragonspar::dispatch {

/// A request reached the owner.
struct arrived {
    work_item work;
};

/// The holder of the dispatch right no longer wants the request to be dispatched.
struct withdrawn {
    request_id id;
};

/// A dispatch ended before its first byte was written; the request did not run.
struct dispatch_failed {
    request_id id;
};

/// The holder of the dispatch right refused the dispatch; the request did not run here.
struct grant_refused {
    request_id id;
};

/// The server sent the first token.
struct first_token {
    request_id id;
    std::optional<token_count> cached; ///< prompt tokens that the server found in its cache
};

/// The server sent more tokens.
struct progressed {
    request_id id;
    token_count generated; ///< since the first token
};

/// The server's part is over.
struct ended {
    request_id id;
    bool whole{false};       ///< the whole answer was received
    bool server_fault{true}; ///< if not whole: whether the server is to blame
    token_count generated;
};

/// A load report of an owned server.
struct reported {
    server_id server;
    routing::load_report report;
};

/// A cache event of an owned server.
struct cache_changed {
    server_id server;
    std::uint64_t sequence{};
    std::vector<block_hash> stored;
    std::vector<block_hash> evicted;
};

/// The servers that this instance owns, with their present description.
struct ownership_changed {
    std::vector<config::server> owned;
    std::vector<config::workspace_limit> limits;
};

/// A peer's digest arrived.
struct peer_reported {
    instance_id peer;
    std::vector<routing::model_digest> models;
};

/// A peer is gone or is leaving; nothing is to be transferred to it.
struct peer_gone {
    instance_id peer;
};

/// The instance is leaving: queued work goes to peers.
struct drain_requested {};

/// A holder says that it runs a request which this owner did not dispatch: after this owner was
/// lost and came back, or because another one dispatched it.
struct adopted {
    work_item work;
    server_id server;
    bool just_begun{false}; ///< its whole course will be seen, so speeds are learned from it
};

/// A server is leaving; it gets nothing more.
struct server_leaves {
    server_id server;
};

/// A server wants nothing from one holder for some time.
struct server_paused {
    server_id server;
    instance_id holder;
    time_point until{};
};

/// Time has passed.
struct ticked {};

using event =
    std::variant<arrived, withdrawn, dispatch_failed, grant_refused, first_token, progressed, ended,
                 reported, cache_changed, ownership_changed, peer_reported, peer_gone,
                 drain_requested, adopted, server_leaves, server_paused, ticked>;

/// Dispatch a request; its slot is reserved until `ended` or `dispatch_failed`.
struct start_dispatch {
    request_id id;
    server_id server;
};

/// Tell the holder of the dispatch right that the request was not run here.
struct refuse {
    request_id id;
    reason why{reason::overloaded};
    duration retry_after{};
};

/// Hand a queued request to a peer that can still serve it.
struct transfer {
    request_id id;
    instance_id peer;
};

using effect = std::variant<start_dispatch, refuse, transfer>;

} // namespace tarragonspar::dispatch
