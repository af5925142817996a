package org.amberpath.leadership.runtime;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import org.amberpath.leadership.CandidateOrder;
import org.amberpath.leadership.Leadership;
import org.amberpath.leadership.LeaseAcceptor;
import org.amberpath.leadership.LeaseMessage;
import org.amberpath.leadership.QuorumLeadership;
import org.amberpath.leadership.VoterConfiguration;
import org.amberpath.leadership.runtime.HealthReportCodec.Kind;
import org.amberpath.leadership.runtime.HealthReportCodec.Word;
import org.amberpath.membership.runtime.FleetMessageHandler;
import org.amberpath.membership.runtime.MembershipService;
import org.amberpath.routing.EndpointHealthStatus;

/**
 * Owns tasks of the fleet, by votes that go as letters between gateways or by leases in the
 * registry, votes if it is one of the electorate, and carries out what it owns. Bounds: three
 * tasks.
 */
public final class LeadershipService implements FleetMessageHandler {
  private static final Logger LOG = Logger.getLogger(LeadershipService.class.getName());

  /** Who is told first that an owner has stopped. */
  private static final int HEIRS = 4;

  /** What is left of the wait of a new owner for a message's way: an act takes the rest at most. */
  private static final long ON_THE_WAY = 100_000_000;

  private final Vertx vertx;
  private final LeadershipSettings access;
  private final MembershipService company;
  private final Map<String, OwnedTask> posts = new LinkedHashMap<>();
  private VoterConfiguration electorate;
  private LeaseAcceptor voter;
  private RegistryLeaseClient leases;
  private HealthCheckTask trials;
  private CachePrefetchTask ahead;
  private boolean draining;

  public LeadershipService(Vertx vertx, LeadershipSettings access, MembershipService company) {
    this.vertx = vertx;
    this.access = access;
    this.company = company;
    electorate = access.voters();
  }

  @Override
  public void membershipStarted(long now) {
    if (electorate != null && electorate.allVoters().contains(company.name())) {
      voter = new LeaseAcceptor(access.timings(), now);
    }
    leases =
        access.leaseRegistry() == null
            ? null
            : new RegistryLeaseClient(vertx, access.leaseRegistry(), access.timings(), company);
    long act = access.timings().settleNanos() - ON_THE_WAY;
    if (access.purgeRegistry() != null) {
      post(
          now,
          new PurgeRetentionTask(
              vertx, company, access.purgeRegistry(), access.purgeSweepIntervalNanos()));
    }
    if (access.healthChecks()) {
      trials = new HealthCheckTask(company, act);
      post(now, trials);
    }
    if (access.prefetch()) {
      ahead = new CachePrefetchTask(company, act);
      post(now, ahead);
    }
  }

  private void post(long now, TaskRunner work) {
    Leadership tenure =
        leases != null
            ? leases.tenure(work.task())
            : new QuorumLeadership(
                access.timings(), work.task(), electorate, this::send, company.seed(), now);
    posts.put(work.task(), new OwnedTask(company.name(), work, tenure));
  }

  // ---- Letters.

  private void send(String to, LeaseMessage vote) {
    if (to.equals(company.name())) {
      vertx.runOnContext(
          turn -> vote(company.nowNanos(), to, vote)); // Its own voter is asked as any other.
    } else {
      company.sendMessage(to, LeaseMessageCodec.write(vote));
    }
  }

  @Override
  public void messageReceived(long now, String from, byte[] body) {
    LeaseMessage vote = LeaseMessageCodec.read(body);
    Word word = vote == null ? HealthReportCodec.read(body) : null;
    if (vote != null) {
      vote(now, from, vote);
    } else if (word != null && posts.containsKey(word.task())) {
      word(now, from, word, posts.get(word.task()));
    }
  }

  private void vote(long now, String from, LeaseMessage vote) {
    switch (vote.kind()) {
      case PREPARE, PROPOSE, RELEASE -> {
        LeaseMessage answer = voter == null ? null : voter.messageReceived(now, from, vote);
        if (answer != null) {
          send(from, answer);
        }
      }
      default -> {
        OwnedTask post = posts.get(vote.task());
        if (post != null && post.tenure instanceof QuorumLeadership voted) {
          voted.responseReceived(now, from, vote);
          post.told();
        }
      }
    }
  }

  private void word(long now, String from, Word word, OwnedTask post) {
    switch (word.kind()) {
      case OUTRANKED -> post.tenure.higherTermSeen(now, word.term());
      case STOPPED -> post.tenure.predecessorStopped(now, word.term());
      default -> {
        if (trials != null) {
          trials.letter(now, from, word, post.tenure);
        }
      }
    }
    post.told();
  }

  // ---- What the gateway tells.

  @Override
  public void tick(long now) {
    List<String> there = company.presentNames();
    for (OwnedTask post : posts.values()) {
      if (post.tenure instanceof QuorumLeadership voted) {
        voted.wallClockRead(System.currentTimeMillis());
        voted.place(CandidateOrder.place(post.work.task(), company.name(), there));
      }
      post.tick(now);
      if (draining) {
        handOver(now, post);
      }
    }
    if (leases != null) {
      leases.tick(now);
    }
  }

  @Override
  public void endpointHealthChanged(long now, String cache, EndpointHealthStatus health) {
    if (trials != null) {
      trials.health(now, cache, health);
    }
  }

  @Override
  public void endpointWarmingUp(long now, String cache, long until) {
    if (ahead != null) {
      ahead.cold(now, cache, until);
    }
  }

  /**
   * Who votes may have changed: to the next stage of the list and no further. What can't be read
   * changes nothing.
   */
  @Override
  public void settingsReloaded() {
    if (electorate == null) {
      return;
    }
    vertx
        .executeBlocking(access.reloadVoters()::get)
        .onSuccess(
            next -> {
              if (next.equals(electorate)) {
                return;
              }
              if (!next.follows(electorate)) {
                LOG.warning(
                    company.name()
                        + ": owner: the voters stay "
                        + electorate.allVoters()
                        + ": from one list to another"
                        + " only by way of next-voters");
                return;
              }
              long now = company.nowNanos();
              electorate = next;
              boolean votes = next.allVoters().contains(company.name());
              voter =
                  !votes ? null : voter == null ? new LeaseAcceptor(access.timings(), now) : voter;
              posts.values().forEach(post -> ((QuorumLeadership) post.tenure).updateVoters(next));
              LOG.info(
                  company.name() + ": owner: voters " + next.current() + ", next " + next.next());
            })
        .onFailure(
            e -> LOG.warning(company.name() + ": owner: the voters stay: " + e.getMessage()));
  }

  /** Nothing more is begun; each task is handed over once nothing of it is under way. */
  @Override
  public void drainStarted(long now) {
    draining = true;
    if (trials != null) {
      trials.draining();
    }
    if (ahead != null) {
      ahead.draining();
    }
    posts.values().forEach(post -> handOver(now, post));
  }

  private void handOver(long now, OwnedTask post) {
    if (post.tenure.state() == Leadership.State.RESIGNED) {
      return;
    }
    if (post.work.isIdle()) {
      boolean held = post.tenure.isLeader(now);
      long term = post.tenure.term();
      post.tenure.resign(now);
      if (held) {
        // The first in line take over; whoever else tries waits as after a loss.
        byte[] word = HealthReportCodec.write(Word.of(Kind.STOPPED, post.work.task(), term));
        CandidateOrder.order(post.work.task(), company.presentNames()).stream()
            .filter(one -> !one.equals(company.name()))
            .limit(HEIRS)
            .forEach(one -> company.sendMessage(one, word));
      }
      post.told();
    }
  }

  @Override
  public JsonObject status(long now) {
    JsonArray tasks = new JsonArray();
    posts.values().forEach(post -> tasks.add(post.page(now)));
    return new JsonObject()
        .put("name", company.name())
        .put("votes", voter != null)
        .put(
            "voters",
            new JsonArray(electorate == null ? List.of() : List.copyOf(electorate.allVoters())))
        .put("tasks", tasks);
  }

  @Override
  public boolean release(long now, String name) {
    OwnedTask post = posts.get(name);
    boolean held = post != null && post.tenure.isLeader(now);
    if (held) {
      post.tenure.release(now);
      post.told();
    }
    return held;
  }

  @Override
  public void close(long now) {
    posts
        .values()
        .forEach(
            post -> {
              post.tenure.resign(now);
              post.work.close();
            });
    if (leases != null) {
      leases.close();
    }
  }
}
