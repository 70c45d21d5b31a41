#pragma once

#include <string>
#include <vector>

#include "tarragonspar/membership/view.hpp"
#include "tarragonspar/routing/digest.hpp"
#include "tarragonspar/types/ids.hpp"

namespace tarragonspar::wire {

/// @brief The message that each side sends in a gossip exchange.
struct gossip_message {
    membership::member self;
    std::vector<membership::member> members;
    std::vector<routing::model_digest> digest;
    revision newest; ///< highest configuration revision that the sender knows of
};

/// Kinds of queries that only some instances can answer.
enum class topic : std::uint8_t {
    configuration,  ///< the configuration after a revision
    change,         ///< a change request, for the control leader
    key,            ///< a request under an issued key, for the key's issuer
    key_record,     ///< a key record to be kept as a backup
    lease,          ///< a renewal of leases, for the control leader
    request,        ///< state of a request
    control_status, ///< state of the control group
    published,      ///< the newest published document, by a linearizable read
    entry_report,   ///< an entry instance's state, answered with updates of the control group and
                    ///< servers
    grant,          ///< a request for permission to dispatch, for the scheduler
    grant_update,   ///< progress and results of granted requests, for the scheduler
    server_notice,  ///< what a server reported about itself, for the scheduler
    server_limit,   ///< the rate of requests that a server accepts, for the scheduler
    document_part   ///< a part of the newest published document
};

/// @brief The answer to a query.
struct answer {
    bool known{false}; ///< false: the peer has no answer
    std::string payload;
};

} // namespace tarragonspar::wire
