#include "tarragonspar/gateway/control_link.hpp"

#include <algorithm>
#include <iterator>

#include <boost/asio/post.hpp>

#include "tarragonspar/gateway/plumbing.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

namespace asio = boost::asio;
using runtime::now;

namespace {

/// Pause between two reports. A published document is in force everywhere one pause and a round
/// trip after it was accepted, well within the two seconds that users allow.
constexpr auto report_interval = std::chrono::milliseconds{150};
/// The same where many instances report to one: the leader spends a few percent of its time on
/// them.
constexpr auto crowded_report_interval = std::chrono::milliseconds{300};
constexpr std::uint32_t crowd = 24;
/// Pause while no leader is known: short, since grants are poorer meanwhile.
constexpr auto search_interval = std::chrono::milliseconds{100};
/// Pauses without an answer after which the leader counts as lost: what waits for its grants would
/// miss its latency objective soon.
constexpr int lost_after_pauses = 3;
/// Other entry instances choose at the same time without a word; twice the predicted time spreads
/// them over servers that differ by less than that.
constexpr double own_choice_noise = 1.0;
/// Part of each server's slots that all entry instances together may fill while each grants for
/// itself: more than all, since they choose without a word. What they fill in sum is bounded
/// besides: engines that are overfilled queue in order of arrival and stay late for seconds after a
/// leader is found.
constexpr double own_server_slots = 2.0;
/// Age of the list of servers from which on it is read here.
constexpr duration list_silence = std::chrono::milliseconds{1'500};
/// Other entry instances that are remembered: enough that some of them are in reach after a cut or
/// while many restart.
constexpr std::size_t max_peers = 12;
/// Peers named to another entry instance.
constexpr std::size_t told_peers = 3;
/// Age of the last word of a leader up to which another entry instance is told of it.
constexpr duration sure_leader = std::chrono::milliseconds{450};

} // namespace

control_link::control_link(asio::io_context& context, instance_id self, wire::node& node,
                           std::vector<instance_id> contacts, duration quota_window, hooks uses)
    : context_(context), self_(self), node_(node), quota_window_(quota_window),
      uses_(std::move(uses)), timer_(context), contacts_(std::move(contacts)),
      random_(std::random_device{}()),
      own_desk_(std::make_shared<desk_service>(context, own_choice_noise)) {
    list_.read = now(); // a leader has some time to tell one before it is read here
    next_contact_ = contacts_.empty() ? 0 : self_.value % contacts_.size();
}

void control_link::start() {
    choose_target(std::nullopt);
    report();
}

void control_link::stop() {
    stopped_ = true;
    timer_.cancel();
}

void control_link::add_contacts(const std::vector<instance_id>& contacts) {
    for (const auto id : contacts) {
        if (std::find(contacts_.begin(), contacts_.end(), id) == contacts_.end()) {
            contacts_.push_back(id);
        }
    }
}

void control_link::choose_target(std::optional<instance_id> leader) {
    if (leader) {
        target_ = leader;
    } else if (!contacts_.empty()) {
        next_contact_ = (next_contact_ + 1) % contacts_.size();
        target_ = contacts_[next_contact_];
    }
}

void control_link::report() {
    if (stopped_) {
        return;
    }
    const auto pause = entry_instances_ > crowd ? crowded_report_interval : report_interval;
    if (scheduler_ && now() - scheduler_heard_ > lost_after_pauses * pause) {
        set_scheduler(std::nullopt);
    }
    uses_.on_list_wanted(now() - list_.read > list_silence);
    if (!scheduler_) {
        ask_peer();
    }
    timer_.expires_after(scheduler_ ? pause : search_interval);
    timer_.async_wait([self = weak_from_this()](boost::system::error_code error) {
        const auto held = self.lock();
        if (!error && held) {
            held->report();
        }
    });
    if (!target_) {
        return;
    }
    const entry_report what{.open = uses_.open_requests(),
                            .document = document_.number,
                            .servers_mark = list_.mark,
                            .servers_age = now() - list_.read,
                            .entry_instances = entry_instances_};
    node_.ask(*target_, wire::topic::entry_report, pack(what, now()),
              [self = shared_from_this(), from = *target_](std::optional<wire::answer> answer) {
                  asio::post(self->context_, [self, from, answer = std::move(answer)] {
                      self->on_news(from, answer);
                  });
              });
}

// --- other entry instances, while no leader is heard ---

void control_link::learn_peer(instance_id peer) {
    if (peer == self_ || std::find(peers_.begin(), peers_.end(), peer) != peers_.end()) {
        return;
    }
    if (peers_.size() < max_peers) {
        peers_.push_back(peer);
    } else {
        peers_[random_() % peers_.size()] = peer;
    }
}

void control_link::ask_peer() {
    if (peers_.empty()) {
        return;
    }
    const auto peer = peers_[random_() % peers_.size()];
    const entry_report what{.open = {.holder = self_},
                            .document = document_.number,
                            .servers_mark = list_.mark,
                            .servers_age = now() - list_.read,
                            .entry_instances = entry_instances_};
    node_.ask(peer, wire::topic::entry_report, pack(what, now()),
              [self = shared_from_this()](std::optional<wire::answer> answer) {
                  asio::post(self->context_, [self, answer = std::move(answer)] {
                      const auto news = answer && answer->known ? unpack_news(answer->payload)
                                                                : std::optional<control_news>{};
                      if (news) {
                          self->on_peer_news(*news);
                      }
                  });
              });
}

std::optional<control_news> control_link::answer_peer(instance_id from, const std::string& report) {
    const auto asked = unpack_report(report, now());
    if (!asked) {
        return std::nullopt;
    }
    // Who asks may have restarted and know nobody; the next question goes back to it.
    learn_peer(asked->open.holder);
    control_news news;
    if (scheduler_ && now() - scheduler_heard_ < sure_leader) {
        news.leader = scheduler_;
    }
    news.members = contacts_;
    news.entry_instances = entry_instances_;
    if (document_.number > asked->document) {
        news.document = document_;
    }
    tell_servers(list_, *asked, now(), news);
    std::sample(peers_.begin(), peers_.end(), std::back_inserter(news.peers), told_peers, random_);
    std::erase(news.peers, from);
    return news;
}

void control_link::on_peer_news(const control_news& news) {
    take_news(news);
    if (entry_instances_ == 1 && news.entry_instances > 1) {
        entry_instances_ = news.entry_instances;
        uses_.on_size(entry_instances_);
        share_servers();
    }
    if (!scheduler_ && news.leader) {
        target_ = news.leader;
    }
}

void control_link::take_news(const control_news& news) {
    add_contacts(news.members);
    for (const auto peer : news.peers) {
        learn_peer(peer);
    }
    if (news.document) {
        uses_.on_document(*news.document);
    }
    if (auto servers = servers_in(news)) {
        set_servers(std::move(*servers), news.servers_age);
    } else if (list_.mark != 0 && news.servers_mark == list_.mark) {
        list_.read = std::max(list_.read, now() - news.servers_age);
    }
}

void control_link::on_news(instance_id from, std::optional<wire::answer> answer) {
    const auto news =
        answer && answer->known ? unpack_news(answer->payload) : std::optional<control_news>{};
    if (!news) {
        if (target_ == from && scheduler_ != from) {
            choose_target(std::nullopt);
        }
        return;
    }
    if (news->schedules && news->entry_instances != entry_instances_ && news->entry_instances > 0) {
        entry_instances_ = news->entry_instances;
        uses_.on_size(entry_instances_);
        share_servers();
    }
    take_news(*news);
    if (news->schedules) {
        scheduler_heard_ = now();
        set_scheduler(from);
        target_ = from;
        return;
    }
    if (scheduler_ == from) {
        set_scheduler(std::nullopt);
    }
    if (target_ == from) {
        const auto elsewhere = news->leader && *news->leader != from;
        choose_target(elsewhere ? news->leader : std::optional<instance_id>{});
    }
}

void control_link::set_scheduler(std::optional<instance_id> scheduler) {
    if (scheduler == scheduler_) {
        return;
    }
    scheduler_ = scheduler;
    telemetry::write(
        telemetry::log_line(scheduler ? "scheduler_found" : "scheduler_lost")
            .add("scheduler", scheduler ? settings::instance_address(*scheduler) : "own")
            .add("entry_instances", static_cast<std::int64_t>(entry_instances_)));
    if (!scheduler) {
        choose_target(std::nullopt);
        own_desk_->resume_quotas(uses_.used(), quota_window_);
    }
    // With a scheduler, what waits here waits better in the one queue over all servers; without
    // one, nobody else answers what was asked.
    ask_all_again();
}

void control_link::ask_all_again() {
    for (auto& [id, question] : questions_) {
        // First the new number, so that the answer to the old question changes nothing here.
        send_question(question);
        own_desk_->note({.id = id, .kind = dispatch::grant_news::what::withdrawn});
    }
}

void control_link::ask(const work_item& work, dispatch::earlier_grant earlier,
                       desk_service::reply answer) {
    if (earlier != dispatch::earlier_grant::none) {
        own_desk_->note(
            {.id = work.id, .kind = dispatch::grant_news::what::failed, .server_fault = true});
    }
    auto& question = questions_[work.id];
    question = {.work = work, .earlier = earlier, .answer = std::move(answer)};
    send_question(question);
}

void control_link::send_question(open_question& question) {
    question.asked = ++asked_;
    // The verdict may come at once and end the question, so it is sent later.
    asio::post(context_, [self = shared_from_this(), id = question.work.id, asked = asked_] {
        const auto found = self->questions_.find(id);
        if (found == self->questions_.end() || found->second.asked != asked) {
            return;
        }
        const auto copy = found->second;
        if (self->scheduler_) {
            self->ask_scheduler(copy);
        } else {
            self->ask_own_desk(copy);
        }
    });
}

void control_link::ask_scheduler(const open_question& question) {
    const auto asked = *scheduler_;
    node_.ask(asked, wire::topic::grant,
              pack(grant_question{.work = question.work,
                                  .earlier = question.earlier,
                                  .notice = question.notice},
                   now()),
              [self = shared_from_this(), id = question.work.id, number = question.asked,
               asked](std::optional<wire::answer> said) {
                  asio::post(self->context_, [self, id, number, asked, said] {
                      const auto what = said && said->known ? unpack_verdict(said->payload)
                                                            : std::optional<dispatch::verdict>{};
                      if (!what && self->scheduler_ == asked) {
                          self->set_scheduler(std::nullopt);
                          return; // all open questions were asked again
                      }
                      self->take_remote_verdict(id, number, what);
                  });
              });
}

void control_link::take_remote_verdict(const request_id& id, std::uint64_t asked,
                                       const std::optional<dispatch::verdict>& what) {
    const auto found = questions_.find(id);
    const auto* given = what ? std::get_if<dispatch::grant>(&*what) : nullptr;
    if (given != nullptr && found != questions_.end() && found->second.asked == asked) {
        if (const auto notice = own_desk_->find_notice(given->server, self_)) {
            return_grant(found->second, *given, *notice);
            return;
        }
        own_desk_->note_elsewhere(found->second.work, given->server);
    }
    take_verdict(id, asked, what);
}

void control_link::return_grant(open_question& question, const dispatch::grant& given,
                                const dispatch::server_notice& notice) {
    telemetry::write(telemetry::log_line("grant_returned")
                         .add("request", static_cast<std::int64_t>(question.work.id.sequence))
                         .add("server", given.server_name)
                         .add("cause", notice.pause ? "server_pauses" : "server_leaves"));
    question.earlier = dispatch::earlier_grant::unused;
    question.notice = notice;
    send_question(question);
}

void control_link::note(const dispatch::server_notice& notice) {
    const auto fresh = own_desk_->note(notice);
    if (!fresh) {
        return;
    }
    telemetry::write(telemetry::log_line("server_notice")
                         .add("server", static_cast<std::int64_t>(notice.server.value))
                         .add("pause_ms", notice.pause ? to_milliseconds(*notice.pause) : -1));
    if (scheduler_) {
        node_.ask(*scheduler_, wire::topic::server_notice, pack(notice),
                  [](std::optional<wire::answer>) {}); // a question with the notice repeats it
    }
}

void control_link::ask_own_desk(const open_question& question) {
    own_desk_->ask(question.work, question.earlier,
                   [self = shared_from_this(), id = question.work.id, number = question.asked](
                       const dispatch::verdict& what) { self->take_verdict(id, number, what); });
}

void control_link::take_verdict(const request_id& id, std::uint64_t asked,
                                std::optional<dispatch::verdict> what) {
    const auto found = questions_.find(id);
    if (found == questions_.end() || found->second.asked != asked) {
        return; // a grant that comes too late is missing from the next reports, and so taken back
    }
    if (!what) {
        send_question(found->second);
        return;
    }
    const auto answer = std::move(found->second.answer);
    questions_.erase(found);
    answer(std::move(*what));
}

void control_link::note(const dispatch::grant_news& news) {
    questions_.erase(news.id);
    own_desk_->note(news);
    if (scheduler_) {
        node_.ask(*scheduler_, wire::topic::grant_news, pack(news),
                  [](std::optional<wire::answer>) {});
    }
}

void control_link::set_document(const config::document& in_force,
                                const config::catalogue& content) {
    document_ = in_force;
    // An equal share, which the scheduler leaves to instances that it does not hear.
    own_desk_->set_quotas(content, {}, 1.0 / std::max(1U, entry_instances_));
}

void control_link::set_servers(std::vector<config::server> servers, duration age) {
    const auto read = now() - age;
    if (list_.mark != 0 && read < list_.read) {
        return; // an instance that led before may still tell the list of that time
    }
    auto fresh = make_server_list(std::move(servers), read);
    list_.read = read;
    if (fresh.mark == list_.mark) {
        return;
    }
    log_server_changes(list_.servers, fresh.servers);
    list_ = std::move(fresh);
    share_servers();
    uses_.on_servers();
}

void control_link::share_servers() {
    const auto sharing = static_cast<double>(std::max(1U, entry_instances_));
    own_desk_->set_shares(1.0 / sharing, std::min(1.0, own_server_slots / sharing));
    own_desk_->set_servers(list_.servers);
}

} // namespace tarragonspar::gateway
