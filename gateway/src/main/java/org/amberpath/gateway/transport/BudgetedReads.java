package org.amberpath.gateway.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.LongSupplier;
import org.amberpath.routing.ReadBudget;

/**
 * Carries out the decisions of a {@link ReadBudget} for one channel: the length of each read, and
 * when the channel has to wait for the next turn of the event loop. Confined to that event loop.
 */
@SuppressWarnings("deprecation") // Netty has no other way to bound the reads of a channel.
public final class BudgetedReads implements RecvByteBufAllocator {
  private static final int MIN_READ_BYTES = 64;
  private static final int INITIAL_READ_BYTES = 2048;

  private final ReadBudget budget;
  private final LongSupplier clock;
  private final AdaptiveRecvByteBufAllocator lengths =
      new AdaptiveRecvByteBufAllocator(
          MIN_READ_BYTES, INITIAL_READ_BYTES, ReadBudget.MAX_READ_BYTES);

  private BudgetedReads(ReadBudget budget, LongSupplier clock) {
    this.budget = budget;
    this.clock = clock;
    lengths.maxMessagesPerRead(ReadBudget.MAX_READS_PER_TURN);
  }

  /**
   * Makes a channel read within a budget; to be called before its first read.
   *
   * @param clock monotonic time in nanoseconds
   */
  public static void install(Channel channel, ReadBudget budget, LongSupplier clock) {
    channel.config().setRecvByteBufAllocator(new BudgetedReads(budget, clock));
  }

  @Override
  public Handle newHandle() {
    return new BudgetedHandle(lengths.newHandle());
  }

  /** The reads of the channel. */
  private final class BudgetedHandle extends DelegatingHandle {
    BudgetedHandle(Handle delegate) {
      super(delegate);
    }

    @Override
    public void reset(ChannelConfig config) {
      budget.turnStarted();
      super.reset(config);
    }

    @Override
    public int guess() {
      return Math.min(super.guess(), budget.maxReadBytes());
    }

    @Override
    public ByteBuf allocate(ByteBufAllocator allocator) {
      return allocator.ioBuffer(guess());
    }

    @Override
    public void readComplete() {
      super.readComplete();
      budget.turnEnded(lastBytesRead() == attemptedBytesRead(), clock.getAsLong());
    }

    @Override
    public boolean continueReading() {
      return !budget.isExhausted() && super.continueReading();
    }
  }
}
