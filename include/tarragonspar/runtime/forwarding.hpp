#pragma once

#include <memory>

#include "tarragonspar/runtime/coordinator.hpp"
#include "tarragonspar/wire/node.hpp"

namespace tarragonspar::runtime {

/// @brief Runs requests at other instances over the protocol between instances.
class wire_owners final : public remote_owners {
public:
    /// Receives the digest that accompanies a request for the dispatch right.
    using digest_sink = std::function<void(instance_id, const std::vector<routing::model_digest>&)>;

    wire_owners(boost::asio::io_context& context, wire::node& node, digest_sink digests);

    boost::asio::awaitable<owner_end> run(instance_id target,
                                          std::shared_ptr<request_record> record) override;
    void withdraw(instance_id target, const request_id& id) override;

private:
    boost::asio::io_context& context_;
    wire::node& node_;
    digest_sink on_digest_;
};

/// @brief The link of a request whose dispatch right another instance holds.
/// @param local  provides the digest that accompanies requests for the right
[[nodiscard]] std::shared_ptr<right_holder_link>
make_remote_link(std::shared_ptr<wire::remote_request> request, std::shared_ptr<owner> local);

} // namespace tarragonspar::runtime
