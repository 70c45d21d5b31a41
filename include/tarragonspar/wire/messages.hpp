#pragma once

#include <string>
#include <vector>

#include "tarragonspar/membership/view.hpp"
#include "tarragonspar/routing/digest.hpp"
#include "tarragonspar/types/ids.hpp"

namespace tarragonspar::wire {

/// @brief One side's part in an exchange of news.
struct gossip_message {
    membership::member self;
    std::vector<membership::member> members;
    std::vector<routing::model_digest> digest;
    revision newest; ///< highest configuration revision that the sender knows of
};

/// Kinds of questions that only some instances can answer.
enum class topic : std::uint8_t {
    configuration,  ///< the configuration after a revision
    change,         ///< a change request, for the control leader
    key,            ///< a request under a caller's own key, for the key's holder
    key_record,     ///< a key record to be kept as a backup
    lease,          ///< a renewal of leases, for the control leader
    request,        ///< state of a request
    control_status, ///< state of the control group
    published,      ///< the newest published document, proved to be the newest
    entry_report,   ///< an entry instance's state, for news of the control group and servers
    grant,          ///< a wish to dispatch a request, for the scheduler
    grant_news,     ///< what became of granted requests, for the scheduler
    server_notice   ///< what a server said about itself, for the scheduler
};

/// @brief The answer to a question; not known when the peer can't tell.
struct answer {
    bool known{false};
    std::string payload;
};

} // namespace tarragonspar::wire
