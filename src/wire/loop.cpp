#include "loop.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

#include <glog/logging.h>
#include <kj/io.h>

#include "instance_server.hpp"
#include "listener.hpp"
#include "right_holder_server.hpp"
#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::wire {

namespace {

/// Interval between two checks for peers without recent contact.
constexpr auto lost_peer_check_interval = 250 * kj::MILLISECONDS;

/// Host name that every instance's certificate must contain.
constexpr const char* certificate_name = "tarragonspar";

kj::Duration to_kj(std::chrono::milliseconds value) {
    return value.count() * kj::MILLISECONDS;
}

std::string read_file(const std::string& name) {
    std::ifstream in(name);
    if (!in) {
        throw std::runtime_error("can't read file " + name);
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

kj::Own<kj::TlsContext> make_tls(const settings::tls_files& files) {
    kj::TlsContext::Options options;
    const kj::TlsKeypair pair{kj::TlsPrivateKey(read_file(files.private_key)),
                              kj::TlsCertificate(read_file(files.certificate))};
    const kj::TlsCertificate authority(read_file(files.authorities));
    options.useSystemTrustStore = false;
    options.verifyClients = true;
    options.defaultKeypair = pair;
    options.trustedCertificates = kj::arrayPtr(&authority, 1);
    return kj::heap<kj::TlsContext>(kj::mv(options));
}

} // namespace

std::string describe(const kj::Exception& exception) {
    const auto text = exception.getDescription();
    return {text.begin(), text.size()};
}

node::loop::loop(node_options options, handler& message_handler)
    : options_(std::move(options)), message_handler_(message_handler) {
    for (const auto& [id, address] : options_.peers) {
        links_[id].address = address;
    }
}

node::loop::~loop() {
    stop();
}

std::string node::loop::start() {
    std::promise<std::string> started;
    auto result = started.get_future();
    thread_ = std::thread([this, &started] { run(started); });
    return result.get();
}

void node::loop::stop() {
    if (!thread_.joinable()) {
        return;
    }
    post([this] { stop_->fulfill(); });
    thread_.join();
}

void node::loop::post(std::function<void()> work) {
    const std::lock_guard lock(mutex_);
    if (!accepting_posts_) {
        return;
    }
    const auto first = posted_work_.empty();
    posted_work_.push_back(std::move(work));
    if (first) {
        wake_up();
    }
}

void node::loop::wake_up() {
    const char byte = 0;
    // If the pipe is full, a wake-up is pending already.
    [[maybe_unused]] const auto written = ::write(wake_fd_, &byte, 1);
}

void node::loop::run_posted() {
    std::vector<std::function<void()>> ready;
    {
        const std::lock_guard lock(mutex_);
        ready.swap(posted_work_);
    }
    for (const auto& work : ready) {
        work();
    }
}

kj::Promise<void> node::loop::read_wakeups(kj::AsyncInputStream& input) {
    constexpr std::size_t size = 64;
    auto bytes = kj::heapArray<kj::byte>(size);
    auto* first = bytes.begin();
    return input.tryRead(first, 1, size).attach(kj::mv(bytes)).then([this, &input](std::size_t) {
        run_posted();
        return read_wakeups(input);
    });
}

kj::Own<kj::NetworkAddress> node::loop::resolve(const settings::endpoint& at) {
    const auto text = at.address.find(':') == std::string::npos
                          ? settings::to_string(at)
                          : "[" + at.address + "]:" + std::to_string(at.port);
    return io_->provider->getNetwork().parseAddress(text).wait(io_->waitScope);
}

void node::loop::run(std::promise<std::string>& started) {
    bool reported = false;
    try {
        auto io = kj::setupAsyncIo();
        io_ = &io;
        reported = true;
        serve(io, started);
    } catch (const kj::Exception& error) {
        if (!reported) {
            started.set_value(describe(error));
        }
        LOG(ERROR) << "the event loop for messages between instances stopped: " << describe(error);
    }
}

void node::loop::serve(kj::AsyncIoContext& io, std::promise<std::string>& started) {
    int pipe_fds[2]{};
    kj::Own<kj::ConnectionReceiver> receiver;
    try {
        if (!options_.tls.certificate.empty()) {
            tls_ = make_tls(options_.tls);
        }
        receiver = resolve(options_.listen)->listen();
        if (tls_) {
            receiver = tls_->wrapPort(kj::mv(receiver));
        }
        KJ_SYSCALL(::pipe2(pipe_fds, O_NONBLOCK | O_CLOEXEC));
    } catch (const kj::Exception& error) {
        started.set_value(describe(error));
        return;
    } catch (const std::runtime_error& error) {
        started.set_value(error.what());
        return;
    }
    wake_fd_ = pipe_fds[1];
    const kj::AutoCloseFd write_end(pipe_fds[1]);
    auto wakeups = io.lowLevelProvider->wrapInputFd(
        pipe_fds[0], kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
                         kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                         kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
    tasks_ = kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
    auto stopping = kj::newPromiseAndFulfiller<void>();
    stop_ = kj::mv(stopping.fulfiller);
    listener server(kj::heap<instance_server>(*this),
                    {.max_connections = options_.max_connections,
                     .max_message_bytes = options_.max_message_bytes},
                    options_.on_refused);
    run_task(server.listen(*receiver));
    run_task(read_wakeups(*wakeups));
    run_task(detect_lost_peers());
    {
        const std::lock_guard lock(mutex_);
        accepting_posts_ = true;
    }
    started.set_value({});
    stopping.promise.wait(io.waitScope);
    {
        const std::lock_guard lock(mutex_);
        accepting_posts_ = false;
        posted_work_.clear();
    }
    inbound_.clear();
    tasks_ = nullptr;
    links_.clear();
}

void node::loop::run_task(kj::Promise<void>&& task) {
    tasks_->add(kj::mv(task));
}

void node::loop::taskFailed(kj::Exception&& exception) {
    if (exception.getType() != kj::Exception::Type::DISCONNECTED) {
        VLOG(1) << "a task of the event loop for messages between instances failed: "
                << describe(exception);
    }
}

kj::Promise<void> node::loop::bounded(kj::Promise<void>&& call) {
    return bounded(kj::mv(call), options_.call_timeout);
}

kj::Promise<void> node::loop::bounded(kj::Promise<void>&& call, std::chrono::milliseconds limit) {
    return io_->provider->getTimer().timeoutAfter(to_kj(limit), kj::mv(call));
}

// --- connections ---

kj::Promise<void> node::loop::open_connection(instance_id peer, peer_link& link) {
    const auto text = settings::to_string(link.address);
    auto& network = io_->provider->getNetwork();
    auto opening = network.parseAddress(text)
                       .then([](kj::Own<kj::NetworkAddress>&& address) {
                           auto promise = address->connect();
                           return promise.attach(kj::mv(address));
                       })
                       .then([this](kj::Own<kj::AsyncIoStream>&& stream)
                                 -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
                           if (tls_) {
                               return tls_->wrapClient(kj::mv(stream), certificate_name);
                           }
                           return kj::mv(stream);
                       })
                       .then([&link](kj::Own<kj::AsyncIoStream>&& stream) {
                           link.connection = kj::refcounted<outbound_connection>(kj::mv(stream));
                       });
    return io_->provider->getTimer()
        .timeoutAfter(to_kj(options_.connect_timeout), kj::mv(opening))
        .then([&link]() { link.connecting = nullptr; },
              [&link, peer](kj::Exception&& error) {
                  VLOG(1) << "can't connect to instance " << peer.value << ": " << describe(error);
                  link.connecting = nullptr;
                  kj::throwRecoverableException(kj::mv(error));
              });
}

kj::Promise<kj::Own<outbound_connection>> node::loop::connect(instance_id peer) {
    auto found = links_.find(peer);
    if (found == links_.end() && options_.locate) {
        if (const auto address = options_.locate(peer)) {
            found = links_.try_emplace(peer).first;
            found->second.address = *address;
        }
    }
    if (found == links_.end() || cut_peers_.contains(peer)) {
        return KJ_EXCEPTION(DISCONNECTED, "the peer is not reachable");
    }
    auto& link = found->second;
    KJ_IF_MAYBE (open, link.connection) {
        return kj::addRef(**open);
    }
    if (link.connecting == nullptr) {
        // The fork is stored before it can complete, since promises never complete synchronously.
        link.connecting = open_connection(peer, link).fork();
    }
    return KJ_ASSERT_NONNULL(link.connecting).addBranch().then([&link]() {
        KJ_IF_MAYBE (open, link.connection) {
            return kj::addRef(**open);
        }
        kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "the connection was closed"));
    });
}

void node::loop::drop(instance_id peer, const outbound_connection& broken) {
    auto& link = links_.at(peer);
    KJ_IF_MAYBE (open, link.connection) {
        if (open->get() != &broken) {
            return;
        }
        auto old = kj::mv(*open);
        link.connection = nullptr;
        // Ends calls that are still in flight; fails on a socket that is closed already.
        const auto failed = kj::runCatchingExceptions([&]() {
            old->stream->abortRead();
            old->stream->shutdownWrite();
        });
        // Destroying the connection now would destroy promises that are running.
        run_task(kj::evalLater([last = kj::mv(old)]() mutable { last = nullptr; }));
    }
}

kj::Promise<void> node::loop::drop_on_failure(kj::Promise<void>&& call, instance_id peer,
                                              outbound_connection& outbound) {
    return call.then([&outbound]() { outbound.last_answer_at = std::chrono::steady_clock::now(); },
                     [this, peer, &outbound](kj::Exception&& error) {
                         const auto without_answer =
                             std::chrono::steady_clock::now() - outbound.last_answer_at;
                         const auto is_disconnected =
                             error.getType() == kj::Exception::Type::DISCONNECTED;
                         if (is_disconnected || without_answer > options_.stale_connection) {
                             drop(peer, outbound);
                         }
                         kj::throwRecoverableException(kj::mv(error));
                     });
}

void node::loop::keep_alive(instance_id peer) {
    auto& link = links_.at(peer);
    KJ_IF_MAYBE (open, link.connection) {
        if ((*open)->long_calls == 0) {
            link.heartbeat_running = false;
            return;
        }
        link.heartbeat_running = true;
        auto connection = kj::addRef(**open);
        auto request = connection->instance.probeRequest();
        request.setFrom(options_.self.value);
        request.setTarget(peer.value);
        auto* raw = connection.get();
        auto heartbeat_call =
            bounded(request.send().ignoreResult())
                .then([this]() {
                    return io_->provider->getTimer().afterDelay(to_kj(options_.heartbeat));
                })
                .then([this, peer]() { keep_alive(peer); },
                      [this, peer, raw](kj::Exception&&) {
                          links_.at(peer).heartbeat_running = false;
                          drop(peer, *raw);
                      })
                .attach(kj::mv(connection));
        run_task(kj::mv(heartbeat_call));
    } else {
        link.heartbeat_running = false;
    }
}

kj::Promise<void> node::loop::detect_lost_peers() {
    return io_->provider->getTimer().afterDelay(lost_peer_check_interval).then([this]() {
        const auto now = io_->provider->getTimer().now();
        for (auto& [key, request] : inbound_) {
            const auto last = last_contact_.find(request.from);
            if (last != last_contact_.end() &&
                now - last->second > to_kj(options_.silence_timeout)) {
                request.lost = true;
            }
        }
        return detect_lost_peers();
    });
}

void node::loop::record_contact(instance_id from) {
    if (cut_peers_.contains(from)) {
        kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "cut off"));
    }
    last_contact_.insert_or_assign(from, io_->provider->getTimer().now());
}

void node::loop::cut_off(std::set<instance_id> peers) {
    cut_peers_ = std::move(peers);
    for (const auto peer : cut_peers_) {
        const auto found = links_.find(peer);
        if (found == links_.end()) {
            continue;
        }
        KJ_IF_MAYBE (open, found->second.connection) {
            drop(peer, **open);
        }
    }
    for (auto& [key, request] : inbound_) {
        request.lost = request.lost || cut_peers_.contains(request.from);
    }
}

} // namespace tarragonspar::wire
